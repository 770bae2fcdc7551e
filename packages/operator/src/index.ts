export * from './config.js'
export * from './decide.js'
export * from './edge.js'
