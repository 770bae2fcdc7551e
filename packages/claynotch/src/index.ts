export * from './build.js'
export * from './machine.js'
