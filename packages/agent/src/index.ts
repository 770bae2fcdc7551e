export * from './agent.js'
export * from './words.js'
