export * from './build.js'
export * from './machine.js'
export * from './run.js'
