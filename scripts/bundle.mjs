/** Bundles the mesh process into one file under target/ to shorten its start. */
import * as path from 'node:path';
import * as url from 'node:url';
import * as esbuild from 'esbuild';

const root = new URL('..', import.meta.url).pathname;
const resolveFromRoot = (name) => path.join(root, name);

/** Writes the bundle to `outfile`; `plugins` are esbuild plugins, which may change sources. */
export async function bundleMesh(outfile, plugins = []) {
  await esbuild.build({
    entryPoints: [resolveFromRoot('platform/src/main.ts')],
    outfile,
    plugins,
    bundle: true,
    platform: 'node',
    // Prefers ES modules, because esbuild cannot bundle the CommonJS build of jsonc-parser.
    mainFields: ['module', 'main'],
    target: 'node20',
    format: 'cjs',
    minifySyntax: true,
    minifyWhitespace: true,
    logLevel: 'warning',
    alias: {
      '@figshed/core/mesh': resolveFromRoot('packages/core/src/mesh/index.ts'),
      '@figshed/core': resolveFromRoot('packages/core/src/index.ts'),
      '@figshed/runtime': resolveFromRoot('packages/runtime/src/index.ts'),
      '@figshed/proxy/mesh': resolveFromRoot('packages/proxy/src/mesh/index.ts'),
    },
  });
}

if (process.argv[1] === url.fileURLToPath(import.meta.url)) {
  await bundleMesh(resolveFromRoot('target/figshed-mesh.cjs'));
}
