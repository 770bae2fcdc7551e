export * from './messages.js'
