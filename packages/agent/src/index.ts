export * from './agent.js'
export * from './adapter.js'
export * from './core-status.js'
