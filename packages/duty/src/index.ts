export * from './promotion-calls.js'
export * from './duty.js'
export * from './route-moves.js'
