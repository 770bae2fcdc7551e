export * from './messages.js'
export * from './ledger.js'
export * from './window-meter.js'
export * from './allowances.js'
