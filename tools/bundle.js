// Bundles the daemons for the users' platform into target/, one file for all roles: a start loads one file, not hundreds.
import { build } from 'esbuild'
import { readdirSync, existsSync } from 'node:fs'

const alias = new Map()
for (const name of readdirSync('packages')) if (existsSync(`packages/${name}/src/index.ts`)) alias.set(`@claynotch/${name}`, `./packages/${name}/src/index.ts`)
await build({
  entryPoints: ['platform/src/main.ts'], outfile: 'target/claynotch.mjs', bundle: true, platform: 'node', target: 'node20', format: 'esm',
  alias: Object.fromEntries(alias), minify: false, sourcemap: false, legalComments: 'none', mainFields: ['module', 'main'],
  banner: { js: "import { createRequire as makeRequire } from 'node:module'; const require = makeRequire(import.meta.url);" },
})
