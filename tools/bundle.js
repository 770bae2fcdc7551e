// Bundles the daemons for the platform into target/, one file for all roles, so that a start loads one file instead of
// hundreds.
//   node tools/bundle.js [dist]
// dist: bundles the existing compiled build instead of the sources.
import { build } from 'esbuild'
import { readdirSync, existsSync } from 'node:fs'

const [directory, extension] = process.argv[2] === 'dist' ? ['dist', 'js'] : ['src', 'ts']
const alias = new Map()
for (const name of readdirSync('packages')) {
  const indexPath = `packages/${name}/${directory}/index.${extension}`
  if (existsSync(indexPath)) alias.set(`@claynotch/${name}`, `./${indexPath}`)
}
/**
 * Adds a default export to ts-results. The code imports it by its default, as Node.js resolves it; its ES module build
 * has none, and its CommonJS build can't be bundled.
 */
const tsResultsPlugin = { name: 'results', setup }
function setup(build) {
  function resolve(args) {
    return args.namespace === 'results' ? undefined : { path: 'ts-results', namespace: 'results' }
  }
  function load() {
    return {
      contents: "export * from 'ts-results'; import * as all from 'ts-results'; export default all",
      resolveDir: process.cwd(),
    }
  }
  build.onResolve({ filter: /^ts-results$/ }, resolve)
  build.onLoad({ filter: /.*/, namespace: 'results' }, load)
}
await build({
  entryPoints: [`platform/${directory}/main.${extension}`],
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
  plugins: [tsResultsPlugin],
  banner: {
    js: "import { createRequire as makeRequire } from 'node:module'; const require = makeRequire(import.meta.url);",
  },
})
