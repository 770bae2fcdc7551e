export * from './duty.js'
export * from './move.js'
