export * from './agent.js'
export * from './agent-settings.js'
export * from './adapter.js'
export * from './core-status.js'
