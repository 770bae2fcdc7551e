import results from 'ts-results'

// ts-results is CommonJS with re-exports that Node does not see by name; this is its one door.
export const { Ok, Err } = results
export type { Result } from 'ts-results'
