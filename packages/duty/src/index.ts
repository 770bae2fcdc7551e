export * from './calls.js'
export * from './duty.js'
export * from './move.js'
