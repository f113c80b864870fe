import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['dist/', 'target/', 'node_modules/', 'bench/results/'] },
  ...tseslint.configs.recommended,
  {
    files: ['**/*.ts'],
    rules: {
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
      '@typescript-eslint/explicit-module-boundary-types': 'error',
      complexity: ['error', 14],
      'max-lines': ['error', 320],
      'max-lines-per-function': ['error', { max: 70 }],
    },
  },
);
