import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';
import jsdoc from 'eslint-plugin-jsdoc';

export default [
  { ignores: ['**/dist/**', 'target/**', 'node_modules/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  prettier,
  {
    files: ['**/*.ts'],
    rules: {
      // Node resolves ES modules by their full file name, so the extension cannot be left out.
      'import-x/extensions': ['error', 'ignorePackages', { js: 'always', ts: 'never' }],
      // Programs are compiled from src/bin to dist/src/bin.
      'n/hashbang': [
        'error',
        { convertPath: { 'src/**/*.ts': ['^src/(.+)\\.ts$', 'dist/src/$1.js'] } },
      ],
      // Objects are constructed by static create methods, so constructors are private.
      '@typescript-eslint/no-empty-function': ['error', { allow: ['private-constructors'] }],
      // Error classes made by modern-errors are typed by this interface, not by Error.
      '@typescript-eslint/only-throw-error': [
        'error',
        {
          allow: [
            {
              from: 'package',
              package: 'modern-errors',
              name: ['SpecificErrorInstance', 'ErrorInstance'],
            },
          ],
        },
      ],
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
