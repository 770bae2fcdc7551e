// A small table cached whole in every node, under read leases, and changed under a write lock (docs/design/table-cache.md).
export * from './lock-record.js'
export * from './lease-times.js'
export * from './table-store.js'
export * from './reader.js'
export * from './writer.js'
export * from './orphan-watch.js'
export * from './admission-watch.js'
