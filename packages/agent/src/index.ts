export * from './agent.js'
export * from './seam.js'
export * from './corestatus.js'
