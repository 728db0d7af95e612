import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

export default [
  { ignores: ['**/dist/**', '**/node_modules/**', '.artifacts/**', 'target/**', 'journal/**'] },
  plugins.stylistic,
  plugins.importX,
  ...configs.base.recommended,
  plugins.typescriptEslint,
  ...configs.base.typescript,
  prettier,
  {
    rules: {
      // The project's style is named exports, imported as namespaces.
      'import-x/prefer-default-export': 'off',
      'import-x/no-useless-path-segments': ['error', { noUselessIndex: false }],
      'import-x/no-cycle': ['error', { maxDepth: 3 }],
      'no-restricted-syntax': [
        'error',
        'ForInStatement',
        'LabeledStatement',
        'WithStatement',
        {
          selector: "MemberExpression[object.name='AbortSignal'][property.name='any']",
          message: 'AbortSignal.any loses time-outs in a garbage collection; use createDeadline.',
        },
      ],
      // Loops await each step in turn to keep the steps in order.
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      'no-void': ['error', { allowAsStatement: true }],
    },
  },
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        { considerDefaultExhaustiveForUnions: true },
      ],
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/naming-convention': 'off',
    },
  },
  {
    files: ['packages/*/src/testing/**', 'platform/src/testing/**'],
    rules: {
      'import-x/no-extraneous-dependencies': ['error', { devDependencies: true }],
    },
  },
  {
    files: ['**/*.test.ts', 'scripts/**', 'proofs/**', 'benchmarks/**', 'eslint.config.js'],
    rules: {
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-relative-packages': 'off',
      'no-console': 'off',
    },
  },
];
