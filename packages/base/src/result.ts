import results from 'ts-results'

// ts-results is CommonJS with re-exports that Node does not detect as named exports; this is the only import of it.
export const { Ok, Err } = results
export type { Result } from 'ts-results'
