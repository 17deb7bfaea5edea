import prettier from 'eslint-config-prettier';
import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';
import { verbNames } from './tools/eslint/verbNames.mjs';

/**
 * Modules of Node.js, and libraries and folders that do I/O or encode messages. The code in src/common does
 * neither, so it must not import them.
 */
const IMPORTS_FORBIDDEN_IN_COMMON = [
  'node:*',
  'undici',
  'winston',
  'hot-shots',
  'json-rpc-2.0',
  'ini',
  'yargs',
  'eventsource-parser',
  '**/adapters/**',
  '**/daemons/**',
  '**/cli/**',
  '**/standins/**',
];

export default tseslint.config(
  { ignores: ['dist/**', 'target/**', 'journal/**', 'node_modules/**', 'coverage/**', 'reports/**'] },
  {
    files: ['**/*.ts'],
    extends: [tseslint.configs.strictTypeChecked, tseslint.configs.stylisticTypeChecked],
    languageOptions: { parserOptions: { project: './tsconfig.json' } },
    plugins: { jsdoc, local: { rules: { 'verb-names': verbNames } } },
    rules: {
      'local/verb-names': 'error',
      'jsdoc/require-jsdoc': [
        'error',
        { publicOnly: true, contexts: ['TSInterfaceDeclaration', 'TSTypeAliasDeclaration'] },
      ],
      'jsdoc/require-description': 'error',
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
      '@typescript-eslint/consistent-type-imports': 'error',
    },
  },
  {
    files: ['src/common/**/*.ts'],
    ignores: ['**/*.test.ts'],
    rules: {
      'no-restricted-imports': ['error', { patterns: IMPORTS_FORBIDDEN_IN_COMMON }],
      'no-restricted-globals': [
        'error',
        'process',
        'setTimeout',
        'setInterval',
        'setImmediate',
        'fetch',
        'performance',
        'Buffer',
      ],
      'no-restricted-properties': [
        'error',
        {
          object: 'Date',
          property: 'now',
          message: 'Take the time from a function that the caller passes in.',
        },
        {
          object: 'Math',
          property: 'random',
          message: 'Take random numbers from a function that the caller passes in.',
        },
      ],
    },
  },
  {
    files: ['**/*.test.ts'],
    rules: { 'jsdoc/require-jsdoc': 'off', '@typescript-eslint/no-non-null-assertion': 'off' },
  },
  prettier,
);
