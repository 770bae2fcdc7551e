export * from './duty.js'
