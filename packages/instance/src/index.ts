export * from './log-position.js'
export * from './adapter.js'
export * from './edge.js'
export * from './announcement.js'
