export * from './edge.js'
export * from './announcement.js'
