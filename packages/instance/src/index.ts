export * from './seam.js'
export * from './edge.js'
export * from './announcement.js'
