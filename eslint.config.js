import parser from '@typescript-eslint/parser'

// House style: function declarations only, no classes, no plain objects as tables.
const bans = [
  ['ArrowFunctionExpression', 'function declarations only'],
  ['FunctionExpression', 'function declarations only'],
  ['ClassDeclaration', 'closures and factories, no classes'],
  ['ClassExpression', 'closures and factories, no classes'],
  ['TSIndexSignature', 'a Map, not a plain object, is a table'],
  ["TSTypeReference[typeName.name='Record']", 'a Map, not a plain object, is a table'],
  ['ForInStatement', 'a Map, not a plain object, is a table'],
  [
    "CallExpression[callee.object.name='Object'][callee.property.name=/^(keys|values|entries|fromEntries)$/]",
    'a Map, not a plain object, is a table',
  ],
  ["CallExpression[callee.object.name='Math'][callee.property.name='random']", 'random comes from the world'],
  ["CallExpression[callee.object.name='Date'][callee.property.name='now']", 'time comes from the world'],
]

const rules = {
  'no-restricted-syntax': ['error'],
  'prefer-const': 'error',
  eqeqeq: 'error',
  'no-var': 'error',
  'no-debugger': 'error',
}
for (const [selector, message] of bans) rules['no-restricted-syntax'].push({ selector, message })

export default [
  { ignores: ['**/dist/**', '**/node_modules/**'] },
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    languageOptions: { parser, sourceType: 'module' },
    linterOptions: { reportUnusedDisableDirectives: 'error' },
    rules,
  },
]
