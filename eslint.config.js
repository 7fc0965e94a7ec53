import * as airbnb from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier/flat';

export default [
  { ignores: ['**/dist/**', 'target/**', '**/node_modules/**', 'results/**'] },
  airbnb.plugins.stylistic,
  airbnb.plugins.importX,
  airbnb.plugins.node,
  airbnb.plugins.typescriptEslint,
  ...airbnb.configs.base.recommended,
  ...airbnb.configs.node.recommended,
  ...airbnb.configs.base.typescript,
  prettier,
  {
    rules: {
      // See docs/style.md.
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'import-x/extensions': 'off',
      'import-x/prefer-default-export': 'off',
      'import-x/no-named-as-default-member': 'off',
      'no-param-reassign': ['error', { props: false }],
    },
  },
  {
    files: ['**/errors.ts'],
    rules: { 'max-classes-per-file': 'off' },
  },
  {
    files: [
      'scripts/**',
      'packages/cli/**',
      'packages/proxy/src/settings/**',
      'packages/stand-ins/**',
      'platform/src/settings.ts',
    ],
    rules: { 'n/no-sync': 'off', 'n/no-process-exit': 'off' },
  },
  {
    files: ['**/test/**'],
    rules: {
      'n/no-sync': 'off',
      'import-x/no-extraneous-dependencies': ['error', { devDependencies: true }],
      'n/no-unsupported-features/node-builtins': ['error', { ignores: ['test.describe'] }],
    },
  },
  {
    files: ['scripts/**'],
    rules: { 'import-x/no-extraneous-dependencies': ['error', { devDependencies: true }] },
  },
  {
    files: ['**/main.ts'],
    rules: { 'n/no-process-exit': 'off' },
  },
  {
    files: ['packages/stand-ins/**'],
    rules: { 'n/no-unsupported-features/node-builtins': ['error', { ignores: ['fetch'] }] },
  },
];
