export * from './agent.js'
export * from './seam.js'
