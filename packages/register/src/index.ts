export * from './core-set.js'
export * from './ballot.js'
export * from './delta.js'
export * from './register-store.js'
export * from './values.js'
export * from './pushes.js'
export * from './proposer.js'
export * from './leases.js'
export {
  hasSignedOff,
  SIGNED_OFF_SEQUENCE,
  RegisterValueCodec as ValueShape,
  CoreMessage,
  RegisterPush,
  GetAnswer,
  LeaseRenewal,
  LeaseRenewalAnswer,
  MembersAnswer,
  Member,
  MemberEntry,
  MemberDescription,
  InstanceStatus,
  RegisterSummary,
  latestStatusOf as laterStatus,
} from './messages.js'
export * from './core-view.js'
export * from './core.js'
export type { QuotaRefusal, QuotaService } from './core-messages.js'
export type { CoreState } from './founding.js'
export * from './group-record.js'
export * from './quota-register.js'
export * from './proxy-messages.js'
