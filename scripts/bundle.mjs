/** Bundles the mesh process into one file under target/ to shorten its start. */
import * as path from 'node:path';
import * as url from 'node:url';
import * as esbuild from 'esbuild';

const root = new URL('..', import.meta.url).pathname;
const locate = (name) => path.join(root, name);

/** Writes the bundle to `outfile`; `plugins` are esbuild plugins, which may change sources. */
export async function bundleMesh(outfile, plugins = []) {
  await esbuild.build({
    entryPoints: [locate('platform/src/main.ts')],
    outfile,
    plugins,
    bundle: true,
    platform: 'node',
    // Prefers ES modules, because the CommonJS build of jsonc-parser loads its modules in a way that
    // esbuild cannot bundle.
    mainFields: ['module', 'main'],
    target: 'node20',
    format: 'cjs',
    minifySyntax: true,
    minifyWhitespace: true,
    logLevel: 'warning',
    alias: {
      '@figshed/core/mesh': locate('packages/core/src/mesh/index.ts'),
      '@figshed/core': locate('packages/core/src/index.ts'),
      '@figshed/runtime': locate('packages/runtime/src/index.ts'),
      '@figshed/proxy/mesh': locate('packages/proxy/src/mesh/index.ts'),
    },
  });
}

if (process.argv[1] === url.fileURLToPath(import.meta.url)) {
  await bundleMesh(locate('target/figshed-mesh.cjs'));
}
