// A small table that is cached whole in every node under read leases and changed under a write lock; see
// docs/design/table-cache.md.
export * from './lock-record.js'
export * from './lease-times.js'
export * from './table-store.js'
export * from './reader.js'
export * from './writer.js'
export * from './orphan-watch.js'
export * from './admission-watch.js'
