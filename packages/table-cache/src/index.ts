// A small table cached whole in every node, under read leases, and changed under a write lock (docs/design/table-cache.md).
export {}
