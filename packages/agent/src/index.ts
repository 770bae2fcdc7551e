export * from './agent.js'
