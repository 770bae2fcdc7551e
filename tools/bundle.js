// Bundles the daemons for the users' platform into target/, one file for all roles: a start loads one file, not hundreds.
//   node tools/bundle.js [dist: from the compiled build, as it is, and not from the sources]
import { build } from 'esbuild'
import { readdirSync, existsSync } from 'node:fs'

const [folder, ending] = process.argv[2] === 'dist' ? ['dist', 'js'] : ['src', 'ts']
const alias = new Map()
for (const name of readdirSync('packages')) {
  const index = `packages/${name}/${folder}/index.${ending}`
  if (existsSync(index)) alias.set(`@claynotch/${name}`, `./${index}`)
}
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
  entryPoints: [`platform/${folder}/main.${ending}`],
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
