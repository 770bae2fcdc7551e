// Bundles the daemons for the users' platform into target/, one file for all roles: a start loads one file, not hundreds.
import { build } from 'esbuild'
import { readdirSync, existsSync } from 'node:fs'

const alias = new Map()
for (const name of readdirSync('packages'))
  if (existsSync(`packages/${name}/src/index.ts`)) alias.set(`@claynotch/${name}`, `./packages/${name}/src/index.ts`)
// ts-results is imported as Node sees it, by its default; its module form has none, and its other form can't be bundled.
const results = { name: 'results', setup }
function setup(build) {
  function find(args) {
    return args.namespace === 'results' ? undefined : { path: 'ts-results', namespace: 'results' }
  }
  function load() {
    return {
      contents: "export * from 'ts-results'; import * as all from 'ts-results'; export default all",
      resolveDir: process.cwd(),
    }
  }
  build.onResolve({ filter: /^ts-results$/ }, find)
  build.onLoad({ filter: /.*/, namespace: 'results' }, load)
}
await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/claynotch.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  alias: Object.fromEntries(alias),
  minifyWhitespace: true,
  minifySyntax: true,
  sourcemap: false,
  legalComments: 'none',
  mainFields: ['module', 'main'],
  plugins: [results],
  banner: {
    js: "import { createRequire as makeRequire } from 'node:module'; const require = makeRequire(import.meta.url);",
  },
})
