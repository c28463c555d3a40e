import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';
import jsdoc from 'eslint-plugin-jsdoc';

export default [
  { ignores: ['**/dist/**', 'node_modules/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  prettier,
  {
    rules: {
      // Node resolves ES modules by their full file name, so the extension cannot be left out.
      'import-x/extensions': ['error', 'ignorePackages', { js: 'always', ts: 'never' }],
    },
  },
  {
    files: ['packages/*/src/**/*.ts'],
    plugins: { jsdoc },
    rules: {
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: true,
          require: { ArrowFunctionExpression: true, ClassDeclaration: true },
          contexts: ['TSInterfaceDeclaration', 'TSEnumDeclaration', 'TSTypeAliasDeclaration'],
        },
      ],
      'jsdoc/require-file-overview': ['error', { tags: { module: { mustExist: true } } }],
    },
  },
];
