export * from './coreset.js'
export * from './ballot.js'
export * from './delta.js'
export * from './store.js'
export * from './values.js'
export * from './pushes.js'
export * from './proposer.js'
export * from './terms.js'
export {
  Value as ValueShape,
  CoreWord,
  Push,
  GetAnswer,
  Renew,
  RenewAnswer,
  MembersAnswer,
  Member,
  MemberLine,
  Self,
  Sight,
  KeyLine,
  laterSight,
} from './words.js'
export * from './changes.js'
export * from './core.js'
export type { State } from './founding.js'
export * from './record.js'
export * from './feed.js'
