// The faults and the planned work that tools/benchdays.js draws from: the kinds and fields of the bench's list, each
// with its variants.
//   fields: name, minimum, maximum (a fourth entry true: whole numbers). how: groups of variants, of which one each is
//   drawn; '' stands for none.

const TARGETS = ['', 'leader', 'reader', 'seed']
const AROUND = ['', 'meet', 'race', 'hard', 'race hard', 'meet drain']
const CUT = ['', 'reset', 'refuse']
const SPAN = ['for_s', 1, 7]
const LONG_SPAN = ['for_s', 2, 20]
const SHARE = ['share', 0.1, 0.6]
const COUNT = ['count', 1, 1, true]

/** Kinds of entries; list: the list of a day that they belong to, plan (planned work) or faults. */
export const KINDS = [
  { kind: 'burst', list: 'faults', fields: [['x', 1.3, 1.9], SPAN], how: [] },
  { kind: 'shift', list: 'faults', fields: [['share', 0.3, 0.6], SPAN], how: [], zones: ['to_zone'] },
  {
    kind: 'rude',
    list: 'faults',
    fields: [['count', 20, 120, true], SPAN],
    how: [['idle_tx', 'slowloris', 'slow_reader', 'half_close', 'idle_herd', 'early_leave']],
  },
  {
    kind: 'srv_crash',
    list: 'faults',
    fields: [SPAN],
    how: [
      ['', 'dark', 'gone'],
      ['', 'primary', 'replica'],
    ],
  },
  {
    kind: 'srv_grey',
    list: 'faults',
    fields: [['share', 0.1, 0.2], ['x', 0.3, 0.6], SPAN],
    how: [['errors', 'shed', 'busy', 'hang', 'reset', 'mute']],
  },
  {
    kind: 'srv_lying_health',
    list: 'faults',
    fields: [['share', 0.05, 0.15], SPAN],
    how: [['errors', 'hang', 'reset', 'bad']],
  },
  { kind: 'srv_flap', list: 'faults', fields: [['share', 0.05, 0.15], ['gap_s', 0.8, 2], SPAN], how: [] },
  { kind: 'release', list: 'plan', fields: [], how: [['', 'primary']] },
  {
    kind: 'answer_lost',
    list: 'faults',
    fields: [SHARE, ['x', 0.01, 0.25], SPAN],
    how: [
      ['', 'reset'],
      ['', 'primary'],
    ],
  },
  { kind: 'node_kill', list: 'faults', fields: [['share', 0.1, 0.25], SPAN], how: [['', 'power'], AROUND] },
  { kind: 'node_kill', on: 'core', list: 'faults', fields: [COUNT, LONG_SPAN], how: [['', 'power'], TARGETS, AROUND] },
  { kind: 'node_freeze', list: 'faults', fields: [['share', 0.1, 0.25], SPAN], how: [] },
  { kind: 'node_freeze', on: 'core', list: 'faults', fields: [COUNT, LONG_SPAN], how: [TARGETS, AROUND] },
  { kind: 'node_slow', list: 'faults', fields: [['share', 0.1, 0.25], ['x', 3, 8], SPAN], how: [] },
  {
    kind: 'roll_term',
    list: 'plan',
    fields: [
      ['share', 0.3, 0.6],
      ['x', 1, 3, true],
      ['gap_s', 0.8, 2],
    ],
    how: [['', 'busy', 'remove']],
  },
  {
    kind: 'herd_kill',
    list: 'faults',
    fields: [
      ['share', 0.3, 0.6],
      ['for_s', 0.5, 2.5],
    ],
    how: [['', 'power']],
  },
  {
    kind: 'herd_kill',
    on: 'core',
    list: 'faults',
    fields: [['for_s', 0.5, 2.5]],
    how: [
      ['', 'power', 'taken'],
      ['', 'meet', 'race'],
    ],
  },
  { kind: 'add_nodes', list: 'plan', fields: [['share', 0.3, 1]], how: [] },
  { kind: 'replace_core', list: 'faults', fields: [['x', 0.5, 2]], how: [['', 'planned']] },
  { kind: 'seed_turnover', list: 'plan', fields: [], how: [] },
  {
    kind: 'after_ack_kill',
    list: 'faults',
    fields: [
      ['count', 1, 2, true],
      ['for_s', 1, 4],
    ],
    how: [['', 'kill', 'timed', 'taken']],
  },
  { kind: 'after_ack_wipe', list: 'faults', fields: [['for_s', 1, 4]], how: [['', 'timed', 'taken']] },
  { kind: 'disk_slow', list: 'faults', fields: [COUNT, ['x', 15, 40], SPAN], how: [['', 'leader']] },
  { kind: 'disk_full', list: 'faults', fields: [COUNT, SPAN], how: [['', 'leader']] },
  { kind: 'disk_stall', list: 'faults', fields: [COUNT, SPAN], how: [['', 'leader']] },
  {
    kind: 'clock_step',
    list: 'faults',
    fields: [['x', 800, 3000], ['share', 0.2, 0.5], SPAN],
    how: [['back', 'ahead']],
  },
  { kind: 'hup', list: 'plan', fields: [SHARE, ['gap_s', 0.5, 2.5]], how: [] },
  { kind: 'reset_conns', list: 'faults', fields: [SHARE, ['x', 0.3, 0.8]], how: [] },
  { kind: 'reset_conns', on: 'core', list: 'faults', fields: [COUNT, ['x', 0.3, 1]], how: [] },
  { kind: 'lossy', list: 'faults', fields: [['x', 0.01, 0.04], SPAN], how: [], zones: ['zone'] },
  {
    kind: 'core_cut',
    list: 'faults',
    fields: [COUNT, LONG_SPAN],
    how: [['', 'leader', 'reader', 'seed'], ['', 'one_way', 'seeds', 'both'], CUT, AROUND],
  },
  { kind: 'node_cut', list: 'faults', fields: [['share', 0.1, 0.3], LONG_SPAN], how: [['', 'servers'], CUT, AROUND] },
  {
    kind: 'config_change',
    list: 'plan',
    fields: [],
    how: [['route', 'weights', 'timeout', 'tenant', 'quota', 'idle']],
  },
  {
    kind: 'config_storm',
    list: 'plan',
    fields: [
      ['for_s', 2, 6],
      ['gap_s', 0.08, 0.4],
    ],
    how: [],
  },
  {
    kind: 'config_race',
    list: 'plan',
    fields: [
      ['count', 1, 4, true],
      ['gap_s', 0.5, 1.5],
    ],
    how: [],
  },
  { kind: 'big_config', list: 'plan', fields: [['count', 50, 380, true]], how: [] },
  {
    kind: 'bad_config',
    list: 'plan',
    fields: [
      ['count', 1, 3, true],
      ['gap_s', 0.5, 1.5],
    ],
    how: [
      [
        '',
        'cut_short',
        'unknown_service',
        'same_place',
        'no_weight',
        'no_timeout',
        'old_version',
        'same_version',
        'stale_match',
        'shared_key',
      ],
    ],
  },
  {
    kind: 'ack_lost',
    list: 'faults',
    fields: [
      ['x', 0.3, 0.8],
      ['for_s', 2, 15],
    ],
    how: [],
  },
  {
    kind: 'replica_lag',
    list: 'faults',
    fields: [['share', 0.4, 1], ['x', 20, 150], SPAN],
    how: [['', 'deaf', 'deaf crash']],
  },
  {
    kind: 'primary_cut',
    list: 'faults',
    fields: [['share', 0.3, 0.7], SPAN],
    how: [['', 'replicas', 'core', 'split', 'one_way']],
  },
]

/** Faults that can end a day: each occurs right after one more change has been acknowledged. */
export const CLOSINGS = [
  { kind: 'kill_all', how: ['', 'timed'] },
  { kind: 'power_off_all', how: ['', 'timed', 'taken'] },
  { kind: 'wipe_after_ack', how: ['', 'aimed', 'timed'] },
]
