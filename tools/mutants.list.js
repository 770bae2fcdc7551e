// Each mutant takes one guard out of the build. rule: the point of the brief that the guard serves. on: the fleet that
// plays it, our own or the platform's.
export const mutants = [
  {
    name: 'resend-unclear',
    rule: 'a write that may have reached is sent again',
    scenario: 'answers-lost',
    seeds: [1, 6],
    edits: [['proxy/dist/interpret.js', "if (error.reach === 'maybe' && isWrite(call))", 'if (false)']],
  },
  {
    name: 'promise-unclear',
    rule: '"nothing was kept" told when something was',
    scenario: 'answers-lost',
    seeds: [1, 6],
    edits: [
      [
        'proxy/dist/interpret.js',
        "return { outcome: 'unknown', class: 'UNKNOWN', kept: 'unknown', again: false, why };",
        "return { outcome: 'refused', class: 'UNAVAILABLE', kept: 'nothing', again: true, why };",
      ],
    ],
  },
  {
    name: 'floor-ignored',
    rule: 'a read misses a commit it was owed',
    scenario: 'deaf-follower',
    seeds: [1, 6],
    edits: [
      [
        'proxy/dist/freshness.js',
        'return (!isEpochExact || position.epoch === required.epoch) && comparePositions(position, required) >= 0;',
        'return !isEpochExact || position.epoch === required.epoch;',
      ],
    ],
  },
  {
    name: 'own-ignored',
    rule: 'a read misses a write of its own session',
    scenario: 'lagging-followers',
    seeds: [1, 6],
    edits: [['proxy/dist/freshness.js', 'return comparePositions(token, floor) > 0 ? token : floor;', 'return floor;']],
  },
  {
    name: 'sample-by-answer',
    rule: 'a leader sample counts from when it was asked for',
    scenario: 'lagging-followers',
    seeds: [1, 12],
    edits: [
      [
        'proxy/dist/watch.js',
        'instance.samples.push({ askedAt, epoch: leaderEpoch, position });',
        'instance.samples.push({ askedAt: now + 1500, epoch: leaderEpoch, position });',
      ],
    ],
  },
  {
    name: 'no-term',
    rule: 'work without a valid term; a write on an old leader reported done',
    scenario: 'split',
    seeds: [1, 8],
    edits: [
      [
        'proxy/dist/interpret.js',
        'if (!known || world.now() >= known.leaseExpiresAt || known.record.epoch !== epoch)',
        'if (!known || known.record.epoch !== epoch)',
      ],
      [
        'proxy/dist/transactions.js',
        `if (!group || world.now() >= group.leaseExpiresAt)
`,
        `if (!group)
`,
      ],
      [
        'proxy/dist/target-selection.js',
        `if (!knownGroup || world.now() >= knownGroup.leaseExpiresAt)
            return undefined;
        const record = knownGroup.record;
        const acceptsCalls`,
        `if (!knownGroup)
            return undefined;
        const record = knownGroup.record;
        const acceptsCalls`,
      ],
      [
        'proxy/dist/state.js',
        'return leased !== undefined && world.now() < leased.leaseExpiresAt;',
        'return leased !== undefined;',
      ],
      ['proxy/dist/state.js', 'if (!leased || world.now() >= leased.leaseExpiresAt)', 'if (!leased)'],
    ],
  },
  {
    name: 'no-recheck',
    rule: 'a reply under a lapsed epoch is told done',
    scenario: 'late-delivery',
    seeds: [1, 8],
    edits: [
      [
        'proxy/dist/interpret.js',
        `isFromLeader
                ? isEpochCurrent(group, epoch) && (!adapter.exact || mark.epoch === epoch) && canAcknowledge
                : isFresh(mark, floor, adapter.exact)`,
        'true',
      ],
      ['proxy/dist/transactions.js', 'if (!isCommitValid(tx, result.val.mark))', 'if (false)'],
    ],
  },
  {
    name: 'no-stop-wait',
    rule: 'promotion before each proxy stopped or ran out of its term',
    scenario: 'split',
    seeds: [1, 12],
    edits: [
      [
        'failover/dist/promotion.js',
        'if (!(await haveAllProxiesStopped(world, view, groupKey(group), version, memory.since)))',
        'if (false)',
      ],
    ],
  },
  {
    name: 'pool-unclear',
    rule: "another session's settings or connection",
    scenario: 'answers-lost',
    seeds: [1, 6],
    edits: [
      ['proxy/dist/pool.js', 'if (isResetDue) {', 'if (false) {'],
      ['proxy/dist/pool.js', 'if (connection.settings.get(name) !== value)', 'if (!connection.settings.has(name))'],
    ],
  },
  {
    name: 'no-expect',
    rule: 'a losing configuration takes effect',
    scenario: 'operators-race',
    seeds: [1, 4],
    edits: [['operator/dist/decide.js', 'if (change.expect !== body.epoch)', 'if (false)']],
  },
  {
    name: 'no-check',
    rule: 'an invalid configuration takes effect',
    scenario: 'operators-race',
    seeds: [1, 4],
    edits: [
      ['operator/dist/config.js', 'return findings.length > 0 ? Err(findings) : Ok(config);', 'return Ok(config);'],
    ],
  },
  {
    name: 'no-sync',
    rule: "an acknowledged configuration is missing at day's end",
    scenario: 'everything-stops',
    seeds: [1, 6],
    edits: [
      [
        'register/dist/register-store.js',
        "await appendRecord({ k: 'cell', key, promise: ballot, ballot, value });",
        "void appendRecord({ k: 'cell', key, promise: ballot, ballot, value });",
      ],
      [
        'register/dist/register-store.js',
        "await appendRecord({ k: 'delta', key, promise: ballot, ballot, base, delta });",
        "void appendRecord({ k: 'delta', key, promise: ballot, ballot, base, delta });",
      ],
    ],
  },
  {
    name: 'emptied-votes',
    rule: 'an acknowledged configuration is missing after disks were lost',
    scenario: 'cores-emptied',
    seeds: [1, 6],
    edits: [
      [
        'register/dist/core-founding.js',
        'return await refill();',
        "await store.writeSet('founded', follower.coreSet(), store.token());\n            return true;",
      ],
    ],
  },
  {
    name: 'slip-back',
    rule: 'a node slips back to an older configuration',
    test: 'registers.test.js',
    seeds: [1, 1],
    edits: [
      [
        'proxy/dist/state.js',
        `if (previous && cell.turn < previous.version)
                continue;`,
        '',
      ],
      ['agent/dist/register-cache.js', 'if (local && compareBallots(local.ballot, push.ballot) >= 0)', 'if (false)'],
      ['agent/dist/register-cache.js', 'if (old && value.turn < old.value.turn)\n            return;', ''],
      [
        'agent/dist/register-cache.js',
        'const isNewer = !old || value.turn > old.value.turn;',
        'const isNewer = !old || value.turn !== old.value.turn;',
      ],
      [
        'agent/dist/proxy-link.js',
        '(target.sent.get(key) ?? 0) < value.turn',
        '(target.sent.get(key) ?? 0) !== value.turn',
      ],
    ],
  },
  {
    name: 'unheeded',
    rule: 'an acknowledged configuration goes unheeded after 3 s',
    scenario: 'news-cut-off',
    seeds: [1, 6],
    edits: [
      [
        'agent/dist/register-cache.js',
        'if (register && compareBallots(highest.ballot, register.ballot) <= 0) {',
        'if (register) {',
      ],
    ],
  },
  {
    name: 'leaving-used',
    rule: 'a leaving instance gets new work',
    scenario: 'leaving',
    seeds: [1, 6],
    edits: [
      [
        'proxy/dist/target-selection.js',
        ` ||
                state.isLeaving(candidate.name)`,
        '',
      ],
    ],
  },
  {
    name: 'drain-drops',
    rule: 'a planned stop drops an answer',
    scenario: 'drain',
    seeds: [1, 8],
    edits: [
      [
        'proxy/dist/proxy.js',
        'await clientListener.close(settings.grace === undefined ? ATTEMPT_TIMEOUT_MS + CLOSE_TIMEOUT_MS : drainMs - CONNECTION_GRACE_MS);',
        '',
      ],
      [
        'proxy/dist/proxy.js',
        `while (world.now() < deadline &&
            (world.now() < startedAt + NOT_READY_NOTICE_MS || sessions.transactionCount() > 0 || clientListener.lines() > 0))`,
        'while (false)',
      ],
    ],
  },
  {
    name: 'no-drain-phase',
    rule: 'a planned replacement drops answers or commits',
    scenario: 'planned-replacement',
    seeds: [1, 12],
    edits: [
      [
        'failover/dist/planned-replacement.js',
        'const elapsedMs = world.now() - memory.since;',
        `const elapsedMs = world.now() - memory.since;
        if (elapsedMs >= 0) return await enterStopPhase(context, version, record, false);`,
      ],
    ],
  },
  {
    name: 'no-wait-for-move',
    rule: 'a promotion is absorbed within the budget',
    scenario: 'leader-crash',
    seeds: [1, 3],
    edits: [['proxy/dist/interpret.js', 'await waitForGroupNews(call);', 'return budgetExhausted(call);']],
  },
  {
    name: 'tx-elsewhere',
    rule: 'a statement outside its own transaction',
    scenario: 'resets',
    seeds: [1, 3],
    edits: [
      [
        'proxy/dist/sessions.js',
        'if (tx) return await transactions.statement',
        "if (tx && request.body.kind === 'read') return await transactions.statement",
      ],
    ],
  },
  {
    name: 'fifo',
    rule: "one team's crowd starves another",
    scenario: 'noisy-team',
    seeds: [1, 3],
    edits: [
      [
        'proxy/dist/pool.js',
        '(pool.checkedOutByTeam.get(waiter.requirements.team) ?? 0) / waiter.requirements.share',
        '0',
      ],
    ],
  },
  {
    name: 'no-handover',
    rule: 'what a missing core should have had is kept from it',
    scenario: 'core-away',
    seeds: [1, 2],
    edits: [['register/dist/handover.js', 'if (!missedByPeer || !other.held.up())', 'if (other)']],
  },
  {
    name: 'area-blind',
    rule: 'reads leave their area without need',
    scenario: 'own-area',
    seeds: [1, 2],
    edits: [['proxy/dist/target-selection.js', 'candidate.area === state.area() ? 0 : OTHER_ZONE_LOAD_COST', '0']],
  },
  {
    name: 'no-tokens',
    rule: 'retries summed over nodes are uncapped',
    scenario: 'sick-leader',
    seeds: [1, 2],
    edits: [
      [
        'proxy/dist/retry.js',
        `if (tokensLeft < cost)
            return false;`,
        '',
      ],
    ],
  },
  {
    name: 'no-guard',
    rule: 'the loss with a leader is unbounded though a guard is set',
    scenario: 'guarded-split',
    seeds: [1, 6],
    edits: [['proxy/dist/target-selection.js', 'if (guard === undefined)', 'if (guard !== 0)']],
  },
  {
    name: 'no-shares',
    rule: 'more machines than shares pass the cap',
    scenario: 'too-many',
    seeds: [1, 3],
    edits: [['proxy/dist/state.js', 'return slot >= 0 && slot < size && slots[slot]?.ready === true;', 'return true;']],
  },
  {
    name: 'transaction-ages',
    rule: 'a read in a long transaction misses a commit it was owed',
    scenario: 'deaf-follower',
    seeds: [1, 8],
    edits: [
      [
        'proxy/dist/transactions.js',
        'if (floor !== undefined && !isFresh(result.val.mark, floor, adapter.exact))',
        'if (false)',
      ],
    ],
  },
  {
    name: 'old-rules',
    rule: 'a call goes on by a rule that was replaced',
    scenario: 'lanes-changed',
    seeds: [1, 4],
    edits: [['proxy/dist/interpret.js', 'return state.rules() !== call.rules;', 'return false;']],
  },
  {
    name: 'strays-stay',
    rule: 'an open transaction goes on in a lane that was moved',
    scenario: 'lanes-changed',
    seeds: [1, 8],
    edits: [
      [
        'proxy/dist/transactions.js',
        'if (tx.disallowedSince !== undefined && now - tx.disallowedSince > DRAIN_TIMEOUT_MS)',
        'if (false)',
      ],
    ],
  },
  {
    name: 'move-no-wait',
    rule: 'a write on both sides of a move',
    scenario: 'move-harmed',
    seeds: [1, 40],
    edits: [
      [
        'failover/dist/route-moves.js',
        'return haveAllProxiesStopped(world, view, CONFIG_KEY, memory.version, since);',
        'return Promise.resolve(true);',
      ],
    ],
  },
  {
    name: 'move-unchecked',
    rule: 'a move to a target that lacks acknowledged writes',
    scenario: 'move-harmed',
    seeds: [1, 40],
    edits: [
      [
        'failover/dist/route-moves.js',
        `if (position &&
            (targetLeader.source?.group`,
        'if (false && (targetLeader.source?.group',
      ],
    ],
  },
  {
    name: 'begin-in-drain',
    rule: 'a transaction begun in a drain that was acknowledged is cut',
    scenario: 'homecoming',
    seeds: [1, 8],
    edits: [
      ['proxy/dist/interpret.js', '((mayWrite || beginsTransaction) && state.group(', '(mayWrite && state.group('],
    ],
  },
  {
    name: 'home-at-once',
    rule: 'a leader is brought home without a pause',
    scenario: 'homecoming',
    seeds: [1, 2],
    edits: [
      [
        'failover/dist/planned-replacement.js',
        'world.now() - memory.homeSince > HOME_RETURN_DELAY_MS',
        'world.now() >= memory.homeSince',
      ],
    ],
  },
  {
    name: 'claim-fight',
    rule: 'a duty changes hands as fast as rounds go',
    scenario: 'move-harmed',
    seeds: [14, 14],
    edits: [['failover/dist/group-failover.js', 'if (world.now() - lastSeen.at < FAILOVER_INTERVAL_MS)', 'if (false)']],
  },
  {
    name: 'history-short',
    rule: "an acknowledged change is missing at day's end",
    scenario: 'day-ends',
    seeds: [1, 1],
    edits: [['base/dist/constants.js', 'MAX_HISTORY_ENTRIES = 2048', 'MAX_HISTORY_ENTRIES = 32']],
  },
  {
    name: 'leaving-talks',
    rule: 'an open transaction goes on at a leaving instance',
    scenario: 'leaving-through',
    seeds: [1, 12],
    edits: [['proxy/dist/transactions.js', 'if (state.leavingForMs(instance) > LEAVING_GRACE_MS)', 'if (false)']],
  },
  {
    name: 'caps',
    rule: 'more connections than the instance takes',
    scenario: 'crowd',
    seeds: [1, 3],
    edits: [['proxy/dist/pool.js', 'if (countOpen(pool) < limit) {', 'if (countOpen(pool) < limit * 3) {']],
  },
  {
    name: 'no-core-epoch',
    rule: 'a round or count under one core set ends under another',
    test: 'cores.test.js',
    seeds: [100, 102],
    edits: [
      [
        'register/dist/core-messages.js',
        'if (epoch !== undefined && set.cores.length > 0 && epoch < set.epoch)',
        'if (false)',
      ],
      ['register/dist/core-messages.js', 'if (epoch !== undefined && epoch > set.epoch)', 'if (false)'],
    ],
  },
  {
    name: 'no-joint',
    rule: 'majorities of two core sets have nobody in common',
    test: 'cores.test.js',
    seeds: [100, 102],
    edits: [['register/dist/core-set.js', '&& (set.next === undefined || hasMajority(set.next, ids))', '']],
  },
  {
    name: 'set-unfenced',
    rule: 'two core sets of one epoch',
    test: 'cores.test.js',
    seeds: [100, 102],
    edits: [['agent/dist/core-set-duty.js', 'return epoch === expected.epoch ?', 'return epoch !== next.epoch + 9 ?']],
  },
  {
    name: 'removed-votes',
    rule: 'a core that was removed from the set votes',
    test: 'cores.test.js',
    seeds: [100, 102],
    edits: [['register/dist/core-set-follower.js', 'if (!isVoter) stopServing();', '']],
  },
  {
    name: 'never-called-off',
    rule: 'a newcomer that does not come leaves the set joint for ever',
    test: 'cores.test.js',
    seeds: [100, 102],
    edits: [
      ['agent/dist/core-set-duty.js', 'if (missing.length > 0 && timedOut.length === 0)', 'if (missing.length > 0)'],
    ],
  },
  {
    name: 'hasty-replacement',
    rule: 'a voter that was away for a moment is replaced',
    test: 'cores.test.js',
    seeds: [100, 102],
    edits: [
      ['agent/dist/voter-plan.js', 'isFull ? SPARE_REPLACEMENT_TIMEOUT_MS : VOTER_REPLACEMENT_TIMEOUT_MS', '3000'],
    ],
  },
  {
    name: 'pending-accepted',
    rule: 'a value that a majority is only writing is taken for chosen',
    test: 'registers.test.js',
    seeds: [1, 1],
    edits: [['agent/dist/register-cache.js', 'if (summary.pending === true)', 'if (false)']],
  },
  {
    name: 'pending-untold',
    rule: 'a core tells a ballot as accepted that is not on its disk',
    test: 'storage.test.js',
    seeds: [1, 1],
    edits: [['register/dist/core.js', 'store.isWritten(key) ? summary : { ...summary, pending: true }', 'summary']],
  },
  {
    name: 'takeover-waits',
    rule: 'a duty taken over waits for a leader that nobody hears',
    test: 'takeover.test.js',
    seeds: [1, 1],
    edits: [
      [
        'failover/dist/leader-watch.js',
        'isStrong || failedWithHolder(world.now(), memory, status, evidence.good)',
        'isStrong',
      ],
    ],
  },
  {
    name: 'old-storage',
    rule: 'a removed core that joins again votes by what it held when it was removed',
    test: 'storage.test.js',
    seeds: [1, 1],
    edits: [
      [
        'register/dist/core-set-follower.js',
        'const isSameStorage = !hasLostState && ownEntry.token === token;',
        'const isSameStorage = true;',
      ],
      [
        'register/dist/register-store.js',
        `entries.clear();
            ballotFloor = 0;
            setState('founded', nextSet, token);`,
        "setState('founded', nextSet, token);",
      ],
    ],
  },
  {
    name: 'newcomer-needed',
    rule: 'a joint set that needs its newcomers to end can stand still for ever',
    test: 'voterplan.test.js',
    seeds: [1, 1],
    edits: [
      [
        'agent/dist/voter-plan.js',
        'quorumOf({ epoch: set.epoch, cores: voters, next }).met(serving)',
        'serving.size > 0',
      ],
    ],
  },
  {
    name: 'joins-in-doubt',
    rule: 'the machine that replaces another joins beside it',
    test: 'voterplan.test.js',
    seeds: [1, 1],
    edits: [['agent/dist/voter-plan.js', 'const freeSeats = isDoubtful ? 0 :', 'const freeSeats =']],
  },
  {
    name: 'even-stays',
    rule: 'a set of an even number keeps a voter that is gone in its quorum',
    test: 'voterplan.test.js',
    seeds: [1, 1],
    edits: [['agent/dist/voter-plan.js', 'if (lost.length === 0)', 'if (lost.length >= 0)']],
  },
  {
    name: 'disk-stays-failed',
    rule: 'a core whose disk refused writes once votes never again',
    test: 'voters.test.js',
    seeds: [1, 1],
    edits: [['register/dist/core-founding.js', 'if (store.failed() !== undefined) await follower.recoverDisk();', '']],
  },
  {
    name: 'seeds-once',
    rule: 'whoever knows only an old core set never finds the new one',
    test: 'controlguards.test.js',
    seeds: [1, 1],
    edits: [['agent/dist/lease-renewal.js', 'void links.rediscover();', ';']],
  },
  {
    name: 'no-sweep',
    rule: 'a value chosen under the old set is at no quorum of the new one',
    test: 'controlguards.test.js',
    seeds: [1, 1],
    edits: [
      [
        'agent/dist/core-set-duty.js',
        `if (!(await confirmRegisters(set)))
            return;`,
        '',
      ],
    ],
  },
  {
    name: 'newcomer-sure',
    rule: 'a newcomer says that it knows of all leases, though others counted some before it voted',
    test: 'controlguards.test.js',
    seeds: [1, 1],
    edits: [
      [
        'register/dist/leases.js',
        `function markIncomplete() {
        incompleteSince = world.now();
    }`,
        'function markIncomplete() { }',
      ],
    ],
  },
  {
    name: 'newcomer-unrefilled',
    rule: 'a new core votes before its refill, and terms',
    test: 'storage.test.js',
    seeds: [1, 1],
    edits: [
      [
        'register/dist/core-founding.js',
        'return await refill();',
        "await store.writeSet('founded', follower.coreSet(), store.token());\n            return true;",
      ],
    ],
  },
  {
    on: 'platform',
    name: 'platform-after',
    rule: 'STALE: a replica is asked without the place that it must hold',
    scenario: 'deaf replica, then primary crash',
    seeds: [1, 3],
    edits: [['proxy/dist/interpret.js', '{ after: floor }', '{}']],
  },
  {
    on: 'platform',
    name: 'platform-within',
    rule: 'STALE: a floor older than the bound',
    scenario: 'deaf replica, then primary crash',
    seeds: [1, 3],
    edits: [['proxy/dist/freshness.js', 'sample.askedAt < now - maxStalenessMs', 'false']],
  },
  {
    on: 'platform',
    name: 'platform-own',
    rule: "STALE: a session's own write",
    scenario: 'replicas lag',
    seeds: [1, 3],
    edits: [['proxy/dist/freshness.js', 'if (!token)', 'if (true)']],
  },
  {
    on: 'platform',
    name: 'platform-resend',
    rule: 'TWICE: a write that may have reached is sent again',
    scenario: 'answers lost, connections reset',
    seeds: [1, 3],
    edits: [['proxy/dist/interpret.js', "if (error.reach === 'maybe' && isWrite(call))", 'if (false)']],
  },
  {
    on: 'platform',
    name: 'platform-key-any',
    rule: 'ROUTE: an unknown key is served',
    scenario: 'an instance is told another name',
    seeds: [1, 2],
    edits: [['proxy/dist/identity.js', 'return tenant !== undefined || lane.isPublic ?', 'return true ?']],
  },
  {
    on: 'platform',
    name: 'platform-key-lent',
    rule: 'UNASKED: a connection is lent to another tenant',
    scenario: 'an instance is told another name',
    seeds: [1, 2],
    edits: [['proxy/dist/pool.js', 'if (connection.tenant !== tenant)', 'if (false)']],
  },
  {
    on: 'platform',
    name: 'platform-key-waits-removed',
    rule: 'CONFIG: a call that waited outlives its key',
    scenario: 'a call that waits for a connection outlives',
    seeds: [1, 6],
    edits: [['proxy/dist/interpret.js', 'if (!identity.isAllowed)', 'if (false)']],
  },
  {
    on: 'platform',
    name: 'platform-key-session',
    rule: 'CONFIG: an open session outlives its key',
    scenario: 'a key that was taken from connected clients',
    seeds: [1, 2],
    edits: [
      [
        'proxy/dist/sessions.js',
        `if (!identity.isAllowed)
            return runner.keyRefusals.refuse(found.lane, session.keyHash);
        const shapeName`,
        'const shapeName',
      ],
    ],
  },
  {
    name: 'platform-key-transaction',
    rule: 'CONFIG: an open transaction outlives its key',
    test: 'platform/dist/test/tenant-keys.test.js',
    seeds: [1, 1],
    edits: [
      ['proxy/dist/transactions.js', 'const reason = whyKeyInvalid(tx) ?? whyInvalid', 'const reason = whyInvalid'],
    ],
  },
  {
    name: 'platform-key-lease',
    rule: 'CONFIG: DENIED is told without a lease',
    test: 'platform/dist/test/tenant-keys.test.js',
    seeds: [1, 1],
    edits: [
      [
        'proxy/dist/key-refusals.js',
        `if (!state.hasValidLease())
            return 'no-lease';`,
        '',
      ],
    ],
  },
  {
    name: 'platform-key-shared',
    rule: 'CONFIG: two tenants share a key',
    test: 'platform/dist/test/tenant-keys.test.js',
    seeds: [1, 1],
    edits: [['operator/dist/config.js', '...findSharedKeys(config.tenants ?? []),', '']],
  },
  {
    name: 'platform-key-fed',
    rule: 'a proxy is fed keys in plain',
    test: 'platform/dist/test/tenant-keys.test.js',
    seeds: [1, 1],
    edits: [
      ['agent/dist/proxy-link.js', 'withoutTenantLabels(withoutHistory(value.body))', 'withoutHistory(value.body)'],
    ],
  },
  {
    on: 'platform',
    name: 'platform-values',
    rule: "PINNED: another session's values",
    scenario: 'calm',
    seeds: [1, 3],
    edits: [['proxy/dist/pool.js', 'isResetDue = true', 'isResetDue = false']],
  },
  {
    on: 'platform',
    name: 'platform-ended',
    rule: 'PINNED: what follows a transaction that the node ended',
    scenario: 'calm',
    seeds: [1, 3],
    edits: [['proxy/dist/sessions.js', 'if (endedVerdict &&', 'if (false &&']],
  },
  {
    on: 'platform',
    name: 'platform-leaving',
    rule: 'DRAIN_TIMEOUT_MS: new work at an instance that leaves',
    scenario: 'all copies',
    seeds: [1, 3],
    edits: [
      [
        'proxy/dist/target-selection.js',
        ` ||
                state.isLeaving(candidate.name)`,
        '',
      ],
    ],
  },
  {
    on: 'platform',
    name: 'platform-no-stop-wait',
    rule: 'STALE: promotion before each proxy stopped or ran out of its term',
    scenario: 'split',
    seeds: [1, 6],
    edits: [
      [
        'failover/dist/promotion.js',
        'if (!(await haveAllProxiesStopped(world, view, groupKey(group), version, memory.since)))',
        'if (false)',
      ],
    ],
  },
  {
    on: 'platform',
    name: 'platform-no-expect',
    rule: 'CONFIG: two changes on one version',
    scenario: 'configurations raced',
    seeds: [1, 2],
    edits: [['operator/dist/decide.js', 'if (change.expect !== body.epoch)', 'if (false)']],
  },
  {
    on: 'platform',
    name: 'platform-no-check',
    rule: 'CONFIG: an invalid one is taken',
    scenario: 'invalid',
    seeds: [1, 2],
    edits: [
      ['operator/dist/config.js', 'return findings.length > 0 ? Err(findings) : Ok(config);', 'return Ok(config);'],
    ],
  },
  {
    on: 'platform',
    name: 'platform-no-sync',
    rule: 'LOST: an acknowledged configuration is gone after the closing fault',
    scenario: 'everything loses power',
    seeds: [1, 4],
    edits: [
      [
        'register/dist/register-store.js',
        "await appendRecord({ k: 'cell', key, promise: ballot, ballot, value });",
        "void appendRecord({ k: 'cell', key, promise: ballot, ballot, value });",
      ],
      [
        'register/dist/register-store.js',
        "await appendRecord({ k: 'delta', key, promise: ballot, ballot, base, delta });",
        "void appendRecord({ k: 'delta', key, promise: ballot, ballot, base, delta });",
      ],
    ],
  },
  {
    name: 'delta-any-base',
    rule: 'a delta is applied to another value than the one that it builds on',
    test: 'deltas.test.js',
    seeds: [1, 2],
    edits: [['register/dist/register-store.js', 'if (compareBallots(entry.ballot, base) !== 0)', 'if (false)']],
  },
  {
    name: 'delta-replay-any-base',
    rule: 'a file that lacks a record is taken for whole',
    test: 'deltas.test.js',
    seeds: [1, 1],
    edits: [['register/dist/register-store.js', 'if (compareBallots(entry.ballot, record.base) !== 0)', 'if (false)']],
  },
  {
    name: 'push-any-base',
    rule: 'a stale push is applied to a later value',
    test: 'deltas.test.js',
    seeds: [1, 1],
    edits: [['register/dist/values.js', '|| compareBallots(held.ballot, message.base) !== 0', '']],
  },
  {
    name: 'same-any-ballot',
    rule: 'a proposer goes on from its own old value where a majority has a later one',
    test: 'deltas.test.js',
    seeds: [1, 2],
    edits: [
      ['register/dist/core-messages.js', '|| compareBallots(promise.ballot, have) !== 0', ''],
      [
        'register/dist/proposer.js',
        'else if (heldValue && compareBallots(ballot, heldValue.ballot) === 0)',
        'else if (heldValue)',
      ],
    ],
  },
  {
    name: 'duty-before-current',
    rule: 'a node holds duties before it knows what was settled while it was away',
    test: 'deltastorms.test.js',
    seeds: [1, 1],
    edits: [['agent/dist/agent.js', 'if (isCurrent || registers.isBehind())', 'if (isCurrent)']],
  },
  {
    name: 'two-promotions',
    rule: 'one promotion call of a group is on its way at a time',
    test: 'promotions.test.js',
    seeds: [1, 1],
    edits: [['failover/dist/promotion-calls.js', 'if (groupsInProgress.has(group))', 'if (false)']],
  },
  {
    name: 'promotion-after-term',
    rule: 'nothing is written once what allowed the call has ended',
    test: 'promotions.test.js',
    seeds: [1, 1],
    edits: [['base/dist/http-client.js', 'if (isStillAllowed && !isStillAllowed())', 'if (false)']],
  },
  {
    name: 'http-stray',
    rule: 'bytes that come while nothing is asked end the connection',
    test: 'answers.test.js',
    seeds: [1, 1],
    edits: [
      [
        'base/dist/http-client.js',
        `if (!isRequestOpen)
            close();`,
        '',
      ],
    ],
  },
  {
    name: 'http-two-asks',
    rule: 'one request is under way on a connection at a time',
    test: 'answers.test.js',
    seeds: [1, 1],
    edits: [['base/dist/http-client.js', 'if (closed.fired() || isRequestOpen)', 'if (closed.fired())']],
  },
  {
    name: 'http-kept-unclear',
    rule: 'a connection whose answer did not come whole is closed',
    test: 'answers.test.js',
    seeds: [1, 1],
    edits: [
      [
        'base/dist/http-client.js',
        `if (result.err)
                    close();`,
        '',
      ],
    ],
  },
  {
    name: 'link-any-answer',
    rule: 'an answer on a link goes to the ask whose number it bears',
    test: 'answers.test.js',
    seeds: [1, 1],
    edits: [['base/dist/link.js', 'const settle = pending.get(id);', 'const settle = [...pending.values()][0];']],
  },
  {
    name: 'link-closed-asks',
    rule: 'the asks of a link that closed end with it',
    test: 'answers.test.js',
    seeds: [1, 1],
    edits: [
      [
        'base/dist/link.js',
        `for (const settle of pending.values())
            settle(undefined);`,
        '',
      ],
    ],
  },
  {
    on: 'platform',
    name: 'line-unasked',
    rule: 'an answer that belongs to nothing closes the connection',
    test: 'platform/dist/test/answer-matching.test.js',
    seeds: [1, 1],
    edits: [
      [
        'instance/dist/answer-matching.js',
        "if (origin === 'foreign' || !current)",
        "if (!current) return; if (origin === 'foreign')",
      ],
    ],
  },
  {
    on: 'platform',
    name: 'line-begun',
    rule: 'a part of a line that comes while nothing is asked closes the connection',
    test: 'platform/dist/test/answers.test.js',
    seeds: [1, 1],
    edits: [['../platform/dist/instance.js', 'if (!matching.isAwaiting() && unfinishedBytes() > 0)', 'if (false)']],
  },
  {
    on: 'platform',
    name: 'line-begun-before',
    rule: "an answer that began before the request is not the request's",
    test: 'platform/dist/test/answers.test.js',
    seeds: [1, 1],
    edits: [['../platform/dist/instance.js', 'if (!matching.isAwaiting()) isUnsolicited = true;', '']],
  },
  {
    on: 'platform',
    name: 'line-order',
    rule: 'an answer has its words in order, and one end',
    test: 'platform/dist/test/answers.test.js',
    seeds: [1, 1],
    edits: [['../platform/dist/instance.js', "if (word !== 'READY' && hasTerminator())", 'if (false)']],
  },
  {
    on: 'platform',
    name: 'line-empty-word',
    rule: 'an end that tells nothing is no answer',
    test: 'platform/dist/test/answers.test.js',
    seeds: [1, 1],
    edits: [['../platform/dist/instance.js', "if (rest === '' && word !== 'ROW')", 'if (false)']],
  },
  {
    on: 'platform',
    name: 'line-late',
    rule: 'a connection that kept its caller waiting too long is closed',
    test: 'platform/dist/test/answers.test.js',
    seeds: [1, 1],
    edits: [
      [
        'instance/dist/answer-matching.js',
        "options.close(); pending?.settle(Err(unclearError('timeout')));",
        "pending?.settle(Err(unclearError('timeout')));",
      ],
    ],
  },
  {
    on: 'platform',
    name: 'line-state',
    rule: 'a connection in another state than was asked for is closed',
    test: 'platform/dist/test/answers.test.js',
    seeds: [1, 1],
    edits: [['instance/dist/answer-matching.js', 'if (state !== current.stateAfter)', 'if (false)']],
  },
  {
    on: 'platform',
    name: 'line-refused-state',
    rule: 'a refused statement leaves the connection at rest, or it is closed',
    test: 'platform/dist/test/answers.test.js',
    seeds: [1, 1],
    edits: [
      ['instance/dist/answer-matching.js', "if (current.stateAfter === 'idle' && state !== 'idle')", 'if (false)'],
    ],
  },
  {
    on: 'platform',
    name: 'line-refused-unproven',
    rule: 'a connection whose error may be a repeat is closed',
    test: 'platform/dist/test/repeated-answers.test.js',
    seeds: [1, 1],
    edits: [
      [
        'instance/dist/answer-matching.js',
        'options.close(); failWith(current, answer); }',
        'failWith(current, answer); }',
      ],
    ],
  },
  {
    on: 'platform',
    name: 'answer-stamp-again',
    rule: 'MIXED: a stamp that was given before is taken for the answer',
    test: 'platform/dist/test/repeated-answers.test.js',
    seeds: [1, 1],
    edits: [
      ['instance/dist/answer-history.js', "if (answer.stamp !== undefined && isKnown(answer)) return 'repeat';", ''],
    ],
  },
  {
    on: 'platform',
    name: 'answer-without-stamp',
    rule: 'MIXED: an answer without a stamp is taken for that of a statement',
    test: 'platform/dist/test/repeated-answers.test.js',
    seeds: [1, 1],
    edits: [['instance/dist/answer-history.js', 'return answer.stamp !== undefined;', 'return true;']],
  },
  {
    on: 'platform',
    name: 'answer-begin-unproven',
    rule: 'PINNED: a repeat is taken for the answer to a begin that failed',
    test: 'platform/dist/test/answer-matching.test.js',
    seeds: [1, 1],
    edits: [
      [
        'instance/dist/answer-history.js',
        "return answer.state === stateAfter ? 'unproven' : 'repeat';",
        "return answer.state === stateAfter ? 'own' : 'repeat';",
      ],
    ],
  },
  {
    on: 'platform',
    name: 'answer-owed-unknown',
    rule: 'an acknowledgement that comes late breaks the next request',
    test: 'platform/dist/test/answer-matching.test.js',
    seeds: [1, 1],
    edits: [['instance/dist/answer-history.js', 'owedAcknowledgements.add(stateAfter);', '']],
  },
  {
    on: 'platform',
    name: 'answer-error-unproven',
    rule: 'REFUSED: an error that may be a repeat is taken for the answer',
    test: 'platform/dist/test/repeated-answers.test.js',
    seeds: [1, 1],
    edits: [['instance/dist/answer-history.js', "return size() === 0 ? 'own' : 'unproven';", "return 'own';"]],
  },
  {
    on: 'platform',
    name: 'answer-error-without-proof',
    rule: 'REFUSED: a write is told not to have run by an error that may be a repeat',
    test: 'platform/dist/test/repeated-answers.test.js',
    seeds: [1, 1],
    edits: [['instance/dist/answer-matching.js', "if (mustBeCertain && error.reach === 'answered')", 'if (false)']],
  },
  {
    on: 'platform',
    name: 'answer-proof-twice',
    rule: 'the status that proves an answer is a repeat itself',
    test: 'platform/dist/test/answer-matching.test.js',
    seeds: [1, 1],
    edits: [
      ['instance/dist/answer-matching.js', 'if (hasSentStatus) return giveUp(current);', ''],
      ['instance/dist/answer-matching.js', '(hasSentStatus || history.size()', '(history.size()'],
    ],
  },
  {
    on: 'platform',
    name: 'answer-history-endless',
    rule: 'a connection remembers ever more answers',
    test: 'platform/dist/test/answer-matching.test.js',
    seeds: [1, 1],
    edits: [['instance/dist/answer-matching.js', '|| history.size() >= ANSWER_HISTORY_LIMIT', '']],
  },
  {
    name: 'beat-before-told',
    rule: 'news of an instance is acknowledged once a majority has it',
    test: 'cutoff.test.js',
    seeds: [1, 1],
    edits: [['agent/dist/instance-reports.js', 'unreported.set(name, latestRound);', '']],
  },
  {
    name: 'beat-one-core',
    rule: 'that an instance leaves, as one core told it, is told again by who acknowledges it',
    test: 'cutoff.test.js',
    seeds: [1, 1],
    edits: [['agent/dist/instance-table.js', 'needsReport: isOwnLeaving || changed', 'needsReport: changed']],
  },
  {
    name: 'beat-after-failed-round',
    rule: 'no word is acknowledged while the last round reached no majority',
    test: 'cutoff.test.js',
    seeds: [1, 1],
    edits: [
      [
        'agent/dist/instance-reports.js',
        `if (!isLastRoundAccepted)
                return false;`,
        '',
      ],
    ],
  },
  {
    name: 'beat-same-round',
    rule: 'news is told by a round that began after it',
    test: 'cutoff.test.js',
    seeds: [1, 1],
    edits: [['agent/dist/instance-reports.js', 'if (changedInRound < round)', 'if (true)']],
  },
  {
    name: 'call-without-term',
    rule: 'a promotion call is not written once the term has ended',
    test: 'cutoff.test.js',
    seeds: [1, 1],
    edits: [['failover/dist/promotion.js', 'may: mayCall,', '']],
  },
  {
    name: 'summary-without-term',
    rule: 'a node without a term tells its peers nothing of leaders and instances',
    test: 'cutoff.test.js',
    seeds: [1, 1],
    edits: [['agent/dist/summary-source.js', 'hasLease ? view.instances.leaving() : []', 'view.instances.leaving()']],
  },
  {
    name: 'seed-old-set',
    rule: 'a seed that tells no later set is passed over',
    test: 'cutoff.test.js',
    seeds: [1, 1],
    edits: [['register/dist/core-set.js', '&& (answer.val.epoch ?? 0) > knownEpoch', '']],
  },
  {
    name: 'look-again-any',
    rule: 'who has lost all cores looks for a later set than its own',
    test: 'cutoff.test.js',
    seeds: [1, 1],
    edits: [
      [
        'agent/dist/core-links.js',
        'fetchCoreSetFromSeeds(world, settings.seeds(), coreSet.epoch)',
        'fetchCoreSetFromSeeds(world, settings.seeds())',
      ],
    ],
  },
  {
    on: 'platform',
    name: 'read-from-memory',
    rule: 'a configuration is read at a majority',
    test: 'platform/dist/test/cutoff.test.js',
    seeds: [1, 1],
    edits: [['agent/dist/control-service.js', 'read: configuration.read,', 'read: async () => parts.body(),']],
  },
  {
    name: 'order-unsettled',
    rule: 'a decision is told only of a round that settled',
    test: 'cutoff.test.js',
    seeds: [1, 1],
    edits: [
      [
        'operator/dist/edge.js',
        'return proposal.done ? answer : unclearAnswer(request, NO_MAJORITY);',
        'return answer;',
      ],
    ],
  },
  {
    on: 'platform',
    name: 'order-waits',
    rule: 'an order at a machine without a term ends at once',
    test: 'platform/dist/test/cutoff.test.js',
    seeds: [1, 1],
    edits: [
      [
        'agent/dist/configuration-service.js',
        "isCutOff() ? unclearAnswer(order, 'this machine reaches no majority of cores') : await decide(order)",
        'await decide(order)',
      ],
    ],
  },
  {
    on: 'platform',
    name: 'read-waits',
    rule: 'a read at a machine without a term ends at once',
    test: 'platform/dist/test/cutoff.test.js',
    seeds: [1, 1],
    edits: [['agent/dist/configuration-service.js', 'if (isCutOff()) return undefined;', '']],
  },
  {
    on: 'platform',
    name: 'feed-past-term',
    rule: 'a proxy is handed nothing beyond the term',
    test: 'platform/dist/test/cutoff.test.js',
    seeds: [1, 1],
    edits: [
      [
        'agent/dist/proxy-link.js',
        'const until = Math.min(currentUntil, view.leaseExpiresAt());',
        'const until = world.now() + LEASE_DURATION_MS;',
      ],
    ],
  },
  {
    on: 'platform',
    name: 'full-acknowledged',
    rule: 'an instance that is not kept is not acknowledged',
    test: 'platform/dist/test/control.test.js',
    seeds: [1, 1],
    edits: [
      [
        '../platform/dist/control.js',
        'if (!service.recordAnnouncement(announcement.val))',
        'if (!service.recordAnnouncement(announcement.val) && false)',
      ],
    ],
  },
  // Racing and repeated orders (docs/design/control-safety.md, 2).,
  {
    name: 'number-by-name',
    rule: "a rival under a number is told the first one's acceptance",
    test: 'packages/operator/dist/test/orders.test.js',
    seeds: [1, 1],
    edits: [
      [
        'operator/dist/decide.js',
        'earlierDecision?.digest === undefined || digest === undefined || earlierDecision.digest === digest',
        'true',
      ],
    ],
  },
  {
    name: 'repeat-judged-anew',
    rule: 'an order that was taken is refused when it is sent again',
    test: 'packages/fleet/dist/test/orders.test.js',
    seeds: [1, 1],
    edits: [
      [
        'operator/dist/decide.js',
        `if (earlierDecision)
        return { known: earlierDecision };`,
        '',
      ],
    ],
  },
  {
    name: 'forgotten-refused',
    rule: 'an order that was taken long ago is refused when it is sent again',
    test: 'packages/operator/dist/test/orders.test.js',
    seeds: [1, 1],
    edits: [['operator/dist/decide.js', 'change.expect < body.epoch && mayBeForgotten(body, change)', 'false']],
  },
  {
    name: 'least-of-this-program',
    rule: 'an order that an earlier program dropped is refused when it is sent again',
    test: 'packages/operator/dist/test/orders.test.js',
    seeds: [1, 1],
    edits: [['operator/dist/kept.js', 'namesEpoch ? MIN_NAMED_CHANGES : MAX_HISTORY_ENTRIES', '1024']],
  },
  {
    name: 'coming-refused',
    rule: 'an order on an epoch that is not there yet is refused, and taken later',
    test: 'packages/operator/dist/test/orders.test.js',
    seeds: [1, 1],
    edits: [['operator/dist/decide.js', 'change.epoch !== undefined && change.expect > body.epoch', 'false']],
  },
  {
    name: 'refused-unchosen',
    rule: 'an order is refused for the sake of a value that is not chosen',
    test: 'orders.test.js',
    seeds: [1, 1],
    edits: [['register/dist/proposer.js', 'if (roundQuorum.met(highestHolders)) {', 'if (true) {']],
  },
  {
    name: 'told-unsettled',
    rule: 'a decision is told from a round that did not end',
    test: 'orders.test.js',
    seeds: [1, 1],
    edits: [
      [
        'operator/dist/edge.js',
        'return proposal.done ? answer : unclearAnswer(request, NO_MAJORITY);',
        'return answer;',
      ],
    ],
  },
  {
    name: 'stream-without-content',
    rule: 'two operators are both confirmed under one number',
    test: 'platform/dist/test/orders.test.js',
    seeds: [1, 1],
    edits: [
      [
        '../platform/dist/control.js',
        '`${request.path} ${baseRevision} ${bodyText}`',
        '`${request.path} ${baseRevision} ${change.val.epoch}`',
      ],
    ],
  },
  {
    name: 'named-unkept',
    rule: 'an order that was taken is refused after some changes',
    test: 'platform/dist/test/orders.test.js',
    seeds: [1, 1],
    edits: [
      [
        'operator/dist/kept.js',
        'keepLatest(body.history, true, MAX_NAMED_CHANGES - 1)',
        'keepLatest(body.history, true, 200)',
      ],
    ],
  },
  {
    name: 'losses-of-the-whole',
    rule: 'operators are told that a loss is borne which leaves no quorum',
    test: 'corestatus.test.js',
    seeds: [1, 1],
    edits: [
      ['register/dist/core-set.js', 'set.next === undefined ? [set.cores] : [set.cores, set.next]', '[set.cores]'],
    ],
  },
  {
    name: 'note-each-write',
    rule: 'what a node does beside the calls stays on its beats',
    test: 'cost.test.js',
    seeds: [1, 1],
    edits: [['proxy/dist/proxy.js', 'if (isAckAwaited)', 'if (true)']],
  },
  {
    name: 'tally-always',
    rule: 'a core walks its tables only when something changed',
    test: 'cost.test.js',
    seeds: [1, 1],
    edits: [['register/dist/renewals.js', 'if (revision === tableRevision)', 'if (false)']],
  },
  {
    name: 'duties-everywhere',
    rule: 'an agent that can hold no duty has no task for each group',
    test: 'cost.test.js',
    seeds: [1, 1],
    edits: [
      ['agent/dist/agent.js', 'const mayHoldDuties = settings.http !== undefined;', 'const mayHoldDuties = true;'],
    ],
  },
  {
    name: 'no-lane-without-term',
    rule: 'a lane that was added and acknowledged is refused as unknown',
    test: 'noroute.test.js',
    seeds: [1, 1],
    edits: [
      ['proxy/dist/sessions.js', 'if (!state.hasValidLease())', 'if (false)'],
      ['proxy/dist/interpret.js', 'if (!lane && !state.hasValidLease())', 'if (false)'],
    ],
  },
  {
    name: 'members-from-all',
    rule: 'what a fleet tells of its members while it starts grows with the square of its nodes, not nine times that',
    test: 'members.test.js',
    seeds: [1, 1],
    edits: [['agent/dist/membership.js', 'holdsDuties ? Infinity : MEMBER_SOURCE_COUNT', 'Infinity']],
  },
  {
    name: 'member-sources-stay',
    rule: 'a node goes on knowing the members when the cores that told it are gone',
    test: 'members.test.js',
    seeds: [1, 1],
    edits: [
      [
        'agent/dist/member-sources.js',
        'candidate.isUp && world.now() - candidate.heard <= MEMBER_SOURCE_SILENCE_MS',
        'true',
      ],
    ],
  },
  {
    name: 'summaries-each-to-each',
    rule: 'what a node hears of the others is bounded',
    test: 'summaries.test.js',
    seeds: [1, 1],
    edits: [
      ['peer/dist/summary-schedule.js', 'const spacingMs = receivers * SUMMARY_SPACING_MS;', 'const spacingMs = 0;'],
    ],
  },
  {
    name: 'scarce-kept-idle',
    rule: 'a connection is not kept idle where there are fewer than proxies',
    test: 'lend.test.js',
    seeds: [1, 1],
    edits: [['proxy/dist/pool.js', 'requirements.closesAfterUse !== true || pool.waiters.length > 0', 'true']],
  },
  {
    name: 'sign-off-undone',
    rule: 'a sign-off is final, whatever is announced later',
    test: 'platform/dist/test/control.test.js',
    seeds: [1, 1],
    edits: [['register/dist/messages.js', 'if (hasSignedOff(a) !== hasSignedOff(b))', 'if (false)']],
  },
  {
    name: 'sign-off-untold',
    rule: 'a sign-off after a notice of leaving is told to all',
    test: 'platform/dist/test/control.test.js',
    seeds: [1, 1],
    edits: [
      ['register/dist/messages.js', "hasSignedOff(status) ? 'signed off' : String(status.leaving)", 'status.leaving'],
    ],
  },
  {
    name: 'cut-forgotten',
    rule: 'a transaction that was busy when its node stopped ends with its call',
    test: 'platform/dist/test/stopping.test.js',
    seeds: [1, 1],
    edits: [['proxy/dist/transactions.js', 'if (stopReason !== undefined)', 'if (false)']],
  },
  {
    name: 'rotation-below-quorum',
    rule: 'those that a renewal asks first may be a quorum',
    test: 'rotation.test.js',
    seeds: [1, 1],
    edits: [['agent/dist/voter-rotation.js', 'if (quorum.met(recent)) break;', 'break;']],
  },
  {
    name: 'rotation-without-turns',
    rule: 'each voter hears of a node at least every second round',
    test: 'rotation.test.js',
    seeds: [1, 1],
    edits: [['agent/dist/voter-rotation.js', 'position++ % 2 === round % 2', 'position++ % 2 === 0']],
  },
  {
    name: 'renewal-without-others',
    rule: 'a renewal without a quorum of those asked first asks the others',
    test: 'platform/dist/test/renewals.test.js',
    seeds: [1, 1],
    edits: [
      [
        'agent/dist/lease-renewal.js',
        'for (const [core, coreLink] of remaining)',
        'for (const [core, coreLink] of [])',
      ],
      ['agent/dist/voter-rotation.js', 'if (quorum.met(recent)) break;', 'break;'],
    ],
  },
  {
    name: 'offer-by-name',
    rule: 'an offered register is lacked where it is held at a lower ballot',
    test: 'handover-offer.test.js',
    seeds: [1, 1],
    edits: [
      ['register/dist/handover.js', 'if (ownEntry && compareBallots(ownEntry.ballot, ballot) >= 0)', 'if (ownEntry)'],
    ],
  },
  {
    name: 'session-values',
    rule: "PINNED: another session's values",
    test: 'platform/dist/test/sessionmodel.test.js',
    seeds: [1, 1],
    edits: [['proxy/dist/pool.js', 'isResetDue = true', 'isResetDue = false']],
  },
  {
    name: 'session-ended',
    rule: 'PINNED: what follows a transaction that the node ended',
    test: 'platform/dist/test/sessionmodel.test.js',
    seeds: [1, 1],
    edits: [['proxy/dist/sessions.js', 'if (endedVerdict &&', 'if (false &&']],
  },
  {
    name: 'session-names-after-reset',
    rule: 'PINNED: a name that a reset discarded is prepared again',
    test: 'platform/dist/test/sessionmodel.test.js',
    seeds: [1, 1],
    edits: [['proxy/dist/pool.js', 'connection.shapes.clear();', '']],
  },
  {
    name: 'failures-by-few',
    rule: 'what fails is told by every node',
    test: 'summary-source.test.js',
    seeds: [1, 1],
    edits: [['agent/dist/summary-source.js', 'bad.length > 0 || reportsSuccessesTo(node)', 'reportsSuccessesTo(node)']],
  },
  {
    name: 'witnesses-all',
    rule: 'what a holder of a duty hears of good answers is bounded',
    test: 'summary-source.test.js',
    seeds: [1, 1],
    edits: [['agent/dist/summary-source.js', 'bad.length > 0 || reportsSuccessesTo(node)', 'true']],
  },
  {
    name: 'config-unheeded',
    rule: 'CONFIG: a front that learns of no newer version works on by the one it has',
    test: 'platform/dist/test/configmodel.test.js',
    seeds: [1, 1],
    edits: [
      [
        'agent/dist/register-cache.js',
        'if (register && compareBallots(highest.ballot, register.ballot) <= 0) {',
        'if (register) {',
      ],
      ['agent/dist/register-cache.js', 'if (local && compareBallots(local.ballot, push.ballot) >= 0)', 'if (local)'],
    ],
  },
  {
    name: 'leaving-not-asked',
    rule: 'LOST: a replica that leaves may hold the last acknowledged commits',
    test: 'promotion-safety.test.js',
    seeds: [1, 1],
    edits: [
      [
        'failover/dist/promotion.js',
        'return instances.isSynchronous() ? replicasOf(record, instances.list(), undefined) : instances.stayingInstances();',
        'return instances.stayingInstances();',
      ],
    ],
  },
  {
    name: 'unheard-not-waited',
    rule: 'LOST: a replica that did not answer may hold the last acknowledged commits',
    test: 'promotion-model.test.js',
    seeds: [1, 1],
    edits: [['failover/dist/promotion.js', 'if (unanswered.length === 0)', 'if (unanswered.length >= 0)']],
  },
  {
    name: 'old-log-forgotten',
    rule: "RECOVER: a new instance with the old leader's log is known to hold all that was acknowledged",
    test: 'promotion-safety.test.js',
    seeds: [1, 1],
    edits: [
      [
        'failover/dist/replicas.js',
        'return oldLeader ? [...others, oldLeader].sort(byName) : others;',
        'return others;',
      ],
    ],
  },
  {
    name: 'log-known-by-name-only',
    rule: 'RECOVER: an answer at the address of a log counts for it, whoever gave it',
    test: 'promotion-model.test.js',
    seeds: [1, 1],
    edits: [
      [
        'failover/dist/replicas.js',
        'if (name === replica.name || addr === replica.addr)',
        'if (name === replica.name)',
      ],
    ],
  },
  {
    name: 'absent-dropped-early',
    rule: 'LOST: a replica that is gone is dropped only once another holds all that it may have held',
    test: 'promotion-safety.test.js',
    seeds: [1, 1],
    edits: [['failover/dist/replica-tracking.js', 'let isHeldTwice = false;', 'let isHeldTwice = true;']],
  },
  {
    name: 'end-of-log-waited',
    rule: 'RECOVER: commits that no replica received are not waited for',
    test: 'promotion-safety.test.js',
    seeds: [1, 1],
    edits: [
      ['failover/dist/promotion.js', 'if (instances.isSynchronous()) return undefined;', ''],
      [
        'failover/dist/group-instances.js',
        'return configuredGroup()?.sync === undefined ? MISSING_COMMITS_WAIT_MS : 0;',
        'return Infinity;',
      ],
    ],
  },
  {
    name: 'sign-off-in-memory',
    rule: 'DRAIN: an acknowledged sign-off is on the disks of a majority',
    test: 'platform/dist/test/sign-off.test.js',
    seeds: [1, 1],
    edits: [['agent/dist/departures.js', 'pendingSignOffs.set(name, previous.group);', 'void previous;']],
  },
  {
    name: 'client-questions-unbounded',
    rule: 'Fault: what a client sends ahead is bounded by size',
    test: 'platform/dist/test/client-memory.test.js',
    seeds: [1, 1],
    edits: [['proxy/dist/client-memory.js', '&& pendingBytes <= CLIENT_PENDING_REQUESTS_LIMIT_BYTES', '']],
  },
  {
    name: 'long-question-stops-reading',
    rule: 'silence: a question as long as the wire allows is answered',
    test: 'platform/dist/test/client-memory.test.js',
    seeds: [1, 1],
    edits: [['proxy/dist/client-memory.js', 'if (pendingRequests === 0)', 'if (false)']],
  },
  {
    name: 'session-state-unbounded',
    rule: 'Fault: what a client sets and prepares in its session is bounded',
    test: 'platform/dist/test/session-state.test.js',
    seeds: [1, 1],
    edits: [['proxy/dist/session-state.js', 'if (bytes > 0 && exceedsLimit)', 'if (false)']],
  },
  {
    name: 'connection-shapes-unbounded',
    rule: 'Fault: statements that clients prepare on a pooled connection are bounded',
    test: 'lend.test.js',
    seeds: [1, 1],
    edits: [['proxy/dist/pool.js', 'connection.shapes.size > MAX_CONNECTION_PREPARED_STATEMENTS', 'false']],
  },
  {
    name: 'idle-connection-keeps-values',
    rule: 'Fault: idle connections to instances hold little of what clients set',
    test: 'platform/dist/test/session-state.test.js',
    seeds: [1, 1],
    edits: [
      [
        'proxy/dist/pool.js',
        `&&
                isWorthKeeping(connection)`,
        '',
      ],
    ],
  },
  {
    name: 'client-answers-unbounded',
    rule: 'Fault: answers that a client does not read are bounded',
    test: 'platform/dist/test/client-memory.test.js',
    seeds: [1, 1],
    edits: [
      ['proxy/dist/client-memory.js', 'return unreadBytes <= CLIENT_UNREAD_ANSWERS_LIMIT_BYTES;', 'return true;'],
    ],
  },
  {
    name: 'clients-unbounded',
    rule: 'Fault: what all clients make a process hold is bounded',
    test: 'platform/dist/test/client-memory.test.js',
    seeds: [1, 1],
    edits: [['proxy/dist/client-memory.js', 'totalHeld <= ALL_CLIENTS_MEMORY_LIMIT_BYTES', 'true']],
  },
  {
    name: 'soak-unheard-not-waited',
    rule: 'LOST: a replica that did not answer may hold the last acknowledged commits (review case 2)',
    soak: ['--seconds', '25', '--draw', 'primary-and-replica-crash'],
    seeds: [1, 3],
    edits: [['failover/dist/promotion.js', 'if (unanswered.length === 0)', 'if (unanswered.length >= 0)']],
  },
  {
    name: 'soak-leaving-not-asked',
    rule: 'LOST: a replica that leaves may hold the last acknowledged commits (review case 1)',
    soak: ['--seconds', '25', '--draw', 'primary-crash-beside-leaving-replica'],
    seeds: [1, 3],
    edits: [
      [
        'failover/dist/promotion.js',
        'return instances.isSynchronous() ? replicasOf(record, instances.list(), undefined) : instances.stayingInstances();',
        'return instances.stayingInstances();',
      ],
      ['failover/dist/promotion.js', 'if (unanswered.length === 0)', 'if (unanswered.length >= 0)'],
    ],
  },
  {
    name: 'soak-sign-off-in-memory',
    rule: 'DRAIN: an acknowledged sign-off outlives every process (review case 3)',
    soak: ['--seconds', '15', '--draw', 'primary-sign-off-then-cores-kill'],
    seeds: [1, 3],
    edits: [['agent/dist/departures.js', 'pendingSignOffs.set(name, previous.group)', 'void previous.group']],
  },
  {
    name: 'soak-end-of-log-waited',
    rule: 'RECOVER: a lost primary is replaced (review case 4)',
    soak: ['--seconds', '25', '--draw', 'primary-lost'],
    // Both replicas are behind in this plan, so that the end of the log is ahead of them.
    seeds: [7, 7],
    edits: [
      ['failover/dist/promotion.js', 'if (instances.isSynchronous()) return undefined;', ''],
      [
        'failover/dist/group-instances.js',
        'return configuredGroup()?.sync === undefined ? MISSING_COMMITS_WAIT_MS : 0;',
        'return Infinity;',
      ],
    ],
  },
  {
    name: 'soak-values-unbounded',
    rule: 'Fault: what a client sets is bounded (incident 36)',
    soak: ['--seconds', '15', '--draw', 'value-flood'],
    seeds: [1, 3],
    edits: [['proxy/dist/session-state.js', 'if (bytes > 0 && exceedsLimit)', 'if (false)']],
  },
  {
    name: 'soak-questions-unbounded',
    rule: 'Fault: what a client sends ahead is bounded (review case 5)',
    soak: ['--seconds', '15', '--draw', 'question-flood'],
    seeds: [1, 3],
    edits: [
      [
        'proxy/dist/client-memory.js',
        'return pendingRequests <= MAX_CLIENT_PENDING_REQUESTS && pendingBytes <= CLIENT_PENDING_REQUESTS_LIMIT_BYTES;',
        'return true;',
      ],
    ],
  },
  {
    name: 'table-served-past-lease',
    rule: 'CONFIG: a node serves a table only while its lease holds (table cache, 1)',
    test: 'table-cache-model.test.js',
    seeds: [1, 1],
    edits: [['table-cache/dist/reader.js', 'return now < leaseExpiresAt;', 'return true;']],
  },
  {
    name: 'table-served-while-locked',
    rule: 'CONFIG: a locked table is served by nobody (table cache, 1)',
    test: 'table-cache-model.test.js',
    seeds: [1, 1],
    edits: [['table-cache/dist/reader.js', "if (lock.lockType !== 'READ')", 'if (false)']],
  },
  {
    name: 'table-no-wait',
    rule: 'CONFIG: a writer waits past the last read lease (table cache, 2)',
    test: 'table-cache-model.test.js',
    seeds: [1, 1],
    edits: [['table-cache/dist/writer.js', 'if (hasExpired(world.now() - committedAt, readLeaseMs))', 'if (true)']],
  },
  {
    name: 'table-drift-ignored',
    rule: 'CONFIG: a writer waits for clocks that run slower (table cache, 2)',
    test: 'table-cache-model.test.js',
    seeds: [1, 1],
    edits: [['table-cache/dist/lease-times.js', 'leaseMs * (1 + CLOCK_DRIFT_LIMIT)', 'leaseMs']],
  },
  {
    name: 'table-any-holder',
    rule: 'CONFIG: a change is made only under a lock that its writer holds (table cache, 3)',
    test: 'table-cache-model.test.js',
    seeds: [1, 1],
    edits: [
      ['table-cache/dist/lock-record.js', 'if (record.holder !== holder || record.token !== token)', 'if (false)'],
    ],
  },
  {
    name: 'table-orphan-early',
    rule: 'CONFIG: an orphaned lock is cleared only after its lease (table cache, 4)',
    test: 'table-cache-model.test.js',
    seeds: [1, 1],
    edits: [
      ['table-cache/dist/lock-record.js', 'if (!hasExpired(elapsedMs, record.leaseMs))', 'if (false)'],
      [
        'table-cache/dist/orphan-watch.js',
        'if (!orphan || !hasExpired(world.now() - orphan.observedAt, orphan.leaseMs))',
        'if (!orphan)',
      ],
    ],
  },
  {
    name: 'table-orphan-any-token',
    rule: 'CONFIG: the lock that is cleared is the one whose lease passed (table cache, 4)',
    test: 'table-cache-model.test.js',
    seeds: [1, 1],
    edits: [
      [
        'table-cache/dist/lock-record.js',
        `if (record.token !== token)
        return Err('held by another');
    if (!hasExpired(elapsedMs`,
        'if (!hasExpired(elapsedMs',
      ],
    ],
  },
  {
    name: 'table-served-barred',
    rule: 'CONFIG: a reader that was suspended serves nothing (table cache, 1)',
    test: 'table-cache-model.test.js',
    seeds: [1, 1],
    edits: [['table-cache/dist/reader.js', 'if (isBarred(lock, reader))', 'if (false)']],
  },
  {
    name: 'table-suspended-unwaited',
    rule: 'CONFIG: the lease of a reader that is suspended is waited out (table cache, 2)',
    test: 'table-cache-model.test.js',
    seeds: [1, 1],
    edits: [
      ['table-cache/dist/writer.js', 'await awaitReaders(suspended, Infinity, ANNOUNCEMENT_POLL_INTERVAL_MS);', ''],
    ],
  },
  {
    name: 'table-writers-fight',
    rule: 'silence: one writer at a time gets a change through (table cache)',
    test: 'table-cache-model.test.js',
    seeds: [1, 1],
    edits: [
      [
        'table-cache/dist/writer.js',
        'return !hasExpired(world.now() - observedClaim.observedAt, claim.leaseMs);',
        'return false;',
      ],
    ],
  },
  {
    name: 'quota-reserved-uncounted',
    rule: 'QUOTA: an operation counts from when it is reserved',
    test: 'quota-allowances.test.js',
    seeds: [1, 1],
    edits: [
      [
        'quota/dist/allowances.js',
        'return account.sentMeter.count() + account.reserved;',
        'return account.sentMeter.count();',
      ],
    ],
  },
  {
    name: 'quota-sent-forgotten',
    rule: 'QUOTA: what was sent counts for a whole window',
    test: 'packages/quota/dist/test/window-meter.test.js',
    seeds: [1, 1],
    edits: [
      [
        'quota/dist/window-meter.js',
        'now() - buckets[expiredCount].lastAt > windowMs',
        'now() - buckets[expiredCount].firstAt > windowMs',
      ],
    ],
  },
  {
    name: 'quota-held-told-low',
    rule: 'QUOTA: a proxy tells what it used as held, after its allowance was lowered',
    test: 'quota-allowances.test.js',
    seeds: [1, 1],
    edits: [
      ['quota/dist/allowances.js', 'return Math.max(account.allowance, usedOf(account));', 'return account.allowance;'],
    ],
  },
  {
    name: 'quota-outlives-lease',
    rule: 'QUOTA: a lease that lapsed takes all allowances with it',
    test: 'quota-allowances.test.js',
    seeds: [1, 1],
    edits: [['quota/dist/allowances.js', 'for (const account of accounts.values()) account.allowance = 0;', '']],
  },
  {
    name: 'quota-unleased',
    rule: 'QUOTA: nothing is reserved or sent without a lease',
    test: 'quota-allowances.test.js',
    seeds: [1, 1],
    edits: [['quota/dist/allowances.js', 'return options.isLeased();', 'return true;']],
  },
  {
    name: 'quota-reservation-outlives-lease',
    rule: 'QUOTA: what was reserved before the lease lapsed is not sent after it',
    test: 'quota-allowances.test.js',
    seeds: [1, 1],
    edits: [['quota/dist/allowances.js', 'checkLease() && currentLeaseSince === leaseAtReservation', 'true']],
  },
  {
    name: 'quota-answer-across-lapse',
    rule: 'QUOTA: an answer to a question from before the lease lapsed is dropped',
    test: 'quota-allowances.test.js',
    seeds: [1, 1],
    edits: [
      [
        'quota/dist/allowances.js',
        `if (!checkLease() || currentLeaseSince !== leaseAtQuestion)
            return;`,
        '',
      ],
    ],
  },
  {
    name: 'quota-late-answer',
    rule: 'QUOTA: an answer to a question that was given up is dropped',
    test: 'quota-allowances.test.js',
    seeds: [1, 1],
    edits: [
      [
        'quota/dist/allowances.js',
        'withTimeout(world, QUOTA_REQUEST_TIMEOUT_MS, options.ask(question))',
        'withTimeout(world, QUOTA_REQUEST_TIMEOUT_MS, options.ask(question).then((late) => (applyGrants(late ?? [], lines), late)))',
      ],
    ],
  },
  {
    name: 'quota-idle-kept',
    rule: 'QUOTA: what is not used is given back',
    test: 'quota-allowances.test.js',
    seeds: [1, 1],
    edits: [
      ['quota/dist/allowances.js', 'world.now() - account.lastWantedAt > QUOTA_ALLOWANCE_IDLE_TIMEOUT_MS', 'false'],
    ],
  },
  {
    name: 'quota-sent-without',
    rule: 'QUOTA: nothing goes out but with a reservation',
    test: 'quota-proxy.test.js',
    seeds: [1, 1],
    edits: [['proxy/dist/interpret.js', '!quota.consumeReservation(call)', '(quota.consumeReservation(call), false)']],
  },
  {
    name: 'quota-not-cancelled',
    rule: 'QUOTA: what was reserved and not sent is free again',
    test: 'quota-proxy.test.js',
    seeds: [1, 1],
    edits: [['proxy/dist/interpret.js', 'quota.release(call);', '']],
  },
  {
    name: 'quota-former-tenant',
    rule: 'QUOTA: an operation counts for the tenant in whose name it runs',
    test: 'quota-proxy.test.js',
    seeds: [1, 1],
    edits: [
      ['proxy/dist/quota-step.js', 'if (call.reservation && call.reservation.tenant !== tenant)', 'if (false)'],
      ['proxy/dist/quota-step.js', 'if (reservation?.tenant !== tenant)', 'if (!reservation)'],
    ],
  },
  {
    name: 'quota-retry-free',
    rule: 'QUOTA: a retry counts again',
    test: 'quota-proxy.test.js',
    seeds: [1, 1],
    edits: [
      [
        'proxy/dist/quota-step.js',
        `delete call.reservation;
        return reservation.markSent();`,
        'reservation.markSent(); return true;',
      ],
    ],
  },
  {
    name: 'quota-all-charged-low',
    rule: 'QUOTA: what a proxy holds is charged until it tells less',
    test: 'packages/quota/dist/test/ledger.test.js',
    seeds: [1, 1],
    edits: [['quota/dist/ledger.js', 'return Math.max(held, used, granted);', 'return granted;']],
  },
  {
    name: 'quota-answered-uncharged',
    rule: 'QUOTA: what a proxy was answered is charged before it tells it',
    test: 'packages/quota/dist/test/ledger.test.js',
    seeds: [1, 1],
    edits: [['quota/dist/ledger.js', 'return Math.max(held, used, granted);', 'return Math.max(held, used);']],
  },
  {
    name: 'quota-late-question',
    rule: 'QUOTA: a late question does not lower what a later one told',
    test: 'packages/quota/dist/test/ledger.test.js',
    seeds: [1, 1],
    edits: [
      ['quota/dist/ledger.js', 'if (previous && previous.askedAt >= askedAt)', 'if (false)'],
      [
        'quota/dist/ledger.js',
        'if (proxy && (askedAt < proxy.askedAt || (askedAt === proxy.askedAt && life !== proxy.life)))',
        'if (false)',
      ],
    ],
  },
  {
    name: 'quota-gone-not-cooled',
    rule: 'QUOTA: what a node had whose lease is over cools for a window',
    test: 'packages/quota/dist/test/ledger.test.js',
    seeds: [1, 1],
    edits: [['quota/dist/ledger.js', 'if (amount > 0)', 'if (false)']],
  },
  {
    name: 'quota-life-not-cooled',
    rule: 'QUOTA: what a proxy had that ended cools for a window',
    test: 'packages/quota/dist/test/ledger.test.js',
    seeds: [1, 1],
    edits: [['quota/dist/ledger.js', 'if (proxy && proxy.life !== life)', 'if (false)']],
  },
  {
    name: 'quota-gone-by-old-look',
    rule: 'QUOTA: a node that was answered since it was seen without a lease keeps what it has',
    test: 'packages/quota/dist/test/ledger.test.js',
    seeds: [1, 1],
    edits: [['quota/dist/ledger.js', 'if (proxy && proxy.answeredAt > seenAt)', 'if (false)']],
  },
  {
    name: 'quota-lease-back-counted-twice',
    rule: 'a tenant is refused below its limit: one meter counted what a proxy ran before its lease lapsed and since',
    test: 'packages/quota/dist/test/ledger.test.js',
    seeds: [1, 1],
    edits: [['quota/dist/ledger.js', 'if (state.accounts.get(node)?.life === life)', 'if (false)']],
  },
  {
    name: 'quota-new-holder-grows',
    rule: 'QUOTA: a new holder gives out no more than it was told',
    test: 'packages/quota/dist/test/ledger.test.js',
    seeds: [1, 1],
    edits: [['quota/dist/ledger.js', 'Math.min(limit, state.ceiling + (mayGrow ? 0 : reserve))', 'limit']],
  },
  {
    name: 'quota-new-holder-early',
    rule: 'QUOTA: a new holder waits one window after the last node told it what it holds',
    test: 'packages/quota/dist/test/ledger.test.js',
    seeds: [1, 1],
    edits: [['quota/dist/ledger.js', 'mayGrow && now() >= growthAllowedAt', 'mayGrow']],
  },
  {
    name: 'quota-left-untold',
    rule: 'QUOTA: a new holder waits one window after a node left without a word',
    test: 'packages/quota/dist/test/ledger.test.js',
    seeds: [1, 1],
    edits: [
      [
        'quota/dist/ledger.js',
        `proxies.delete(node);
        convertToResidual(node);`,
        'growthAllowedAt = -Infinity; proxies.delete(node); convertToResidual(node);',
      ],
    ],
  },
  {
    name: 'quota-room-ignored',
    rule: 'QUOTA: the sum of allowances does not grow past the limit',
    test: 'packages/quota/dist/test/ledger.test.js',
    seeds: [1, 1],
    edits: [['quota/dist/ledger.js', 'return Math.min(share, maxAllowance);', 'return share;']],
  },
  {
    name: 'quota-without-lease',
    rule: 'QUOTA: a holder of quotas answers without a lease',
    test: 'quota-guards.test.js',
    seeds: [1, 1],
    edits: [
      [
        'agent/dist/quota-holder.js',
        'return world.now() < Math.min(register?.currentUntil ?? 0, view.dutyUntil());',
        'return world.now() < (register?.currentUntil ?? 0);',
      ],
    ],
  },
  {
    name: 'quota-register-old',
    rule: 'QUOTA: a holder of quotas answers while another may be named',
    test: 'quota-guards.test.js',
    seeds: [1, 1],
    edits: [
      [
        'agent/dist/quota-holder.js',
        'return world.now() < Math.min(register?.currentUntil ?? 0, view.dutyUntil());',
        'return world.now() < view.dutyUntil();',
      ],
    ],
  },
  {
    name: 'quota-any-term',
    rule: 'QUOTA: a holder of quotas answers under another term',
    test: 'quota-guards.test.js',
    seeds: [1, 1],
    edits: [['agent/dist/quota-holder.js', '|| question.term !== heldSlot.term ||', '||']],
  },
  {
    name: 'quota-any-asker',
    rule: "QUOTA: a node asks for another node's proxy",
    test: 'quota-guards.test.js',
    seeds: [1, 1],
    edits: [
      [
        'agent/dist/quota-holder.js',
        'if (asker !== question.node || !isConfigurationCurrent())',
        'if (!isConfigurationCurrent())',
      ],
    ],
  },
  {
    name: 'quota-old-configuration',
    rule: 'QUOTA: limits by a configuration that may be old',
    test: 'quota-guards.test.js',
    seeds: [1, 1],
    edits: [
      [
        'agent/dist/quota-holder.js',
        'if (asker !== question.node || !isConfigurationCurrent())',
        'if (asker !== question.node)',
      ],
    ],
  },
  {
    name: 'quota-any-slot',
    rule: 'QUOTA: a tenant is counted by two holders',
    test: 'quota-guards.test.js',
    seeds: [1, 1],
    edits: [['agent/dist/quota-holder.js', 'if (quotaSlotOf(tenant) !== question.slot)', 'if (false)']],
  },
  {
    name: 'quota-usurped',
    rule: 'QUOTA: a live holder of quotas is replaced',
    test: 'quota-guards.test.js',
    seeds: [1, 1],
    edits: [
      [
        'agent/dist/quota-holder.js',
        'if (!isFree && (isListed(predecessor) || !hasNoLease(predecessor, await membership.read())))',
        'if (false)',
      ],
    ],
  },
  {
    name: 'quota-incomplete-read',
    rule: 'QUOTA: a holder of quotas is replaced though some core may have forgotten it',
    test: 'quota-guards.test.js',
    seeds: [1, 1],
    edits: [
      [
        'agent/dist/quota-holder.js',
        `if (membersRead?.isComplete !== true)
            return false;`,
        'if (membersRead === undefined) return false;',
      ],
    ],
  },
  {
    name: 'quota-no-majority',
    rule: 'QUOTA: a holder of quotas is replaced without a majority',
    test: 'quota-guards.test.js',
    seeds: [1, 1],
    edits: [
      [
        'agent/dist/quota-holder.js',
        `if (membersRead?.isComplete !== true)
            return false;`,
        'if (membersRead === undefined) return true; if (membersRead.isComplete !== true) return false;',
      ],
    ],
  },
  {
    name: 'quota-claimed-over',
    rule: 'QUOTA: of two claims of a slot the second counts too',
    test: 'quota-guards.test.js',
    seeds: [1, 1],
    edits: [['agent/dist/quota-holder.js', 'return isSameHolder(current, predecessor);', 'return true;']],
  },
  {
    name: 'quota-kept-without-vote',
    rule: 'QUOTA: a slot stays with a core that nobody asks',
    test: 'quota-guards.test.js',
    seeds: [1, 1],
    edits: [['agent/dist/quota-holder.js', 'if (heldSlot && (heldSlot.isReleased || !isVoter()))', 'if (false)']],
  },
  {
    name: 'quota-grows-at-once',
    rule: 'QUOTA: a new holder gives out what it does not know to be free',
    test: 'quota-guards.test.js',
    seeds: [1, 1],
    edits: [
      [
        'agent/dist/quota-holder.js',
        'heldSlot.ledger.report(proxy, lines, limitOf, isTakeoverComplete, reserveOf)',
        'heldSlot.ledger.report(proxy, lines, limitOf, true, reserveOf)',
      ],
    ],
  },
  {
    name: 'quota-reserve-twice',
    rule: 'QUOTA: two new holders in a row grant the same reserve',
    test: 'quota-guards.test.js',
    seeds: [1, 1],
    edits: [
      ['agent/dist/quota-holder.js', "const hasReserve = predecessor?.reserve === 'kept';", 'const hasReserve = true;'],
    ],
  },
  {
    name: 'quota-reserve-unsaid',
    rule: 'QUOTA: a holder grants the reserve while the register says that it is kept',
    test: 'quota-guards.test.js',
    seeds: [1, 1],
    edits: [['agent/dist/quota-holder.js', 'heldSlot.isReserveLent && heldSlot.needsReserve', 'heldSlot.needsReserve']],
  },
  {
    name: 'quota-two-holders',
    rule: 'QUOTA: a new holder answers beside the one before',
    test: 'quota-guards.test.js',
    seeds: [1, 1],
    edits: [['agent/dist/quota-holder.js', 'if (!heldSlot.takeover.isSoleHolder())', 'if (false)']],
  },
  {
    name: 'quota-renewal-under-way',
    rule: 'QUOTA: a holder that came back at the claim is overlooked',
    test: 'quota-guards.test.js',
    seeds: [1, 1],
    edits: [['agent/dist/quota-takeover.js', 'if (beganAt >= since + RENEWAL_COMPLETION_MS)', 'if (true)']],
  },
  {
    name: 'quota-window-not-awaited',
    rule: 'QUOTA: what proxies ran that ended before a claim is overlooked',
    test: 'quota-guards.test.js',
    seeds: [1, 1],
    edits: [
      [
        'agent/dist/quota-takeover.js',
        'noLossSince === undefined || now() < noLossSince + USAGE_EXPIRY_MS',
        'noLossSince === undefined',
      ],
    ],
  },
  {
    name: 'quota-untold',
    rule: 'QUOTA: a front machine that has not told is overlooked',
    test: 'quota-guards.test.js',
    seeds: [1, 1],
    edits: [
      [
        'agent/dist/quota-takeover.js',
        'return hasReported && now() >= knownSince + USAGE_EXPIRY_MS;',
        'return now() >= knownSince + USAGE_EXPIRY_MS;',
      ],
    ],
  },
  {
    name: 'quota-other-life',
    rule: 'QUOTA: what an earlier life of a proxy ran is overlooked',
    test: 'quota-guards.test.js',
    seeds: [1, 1],
    edits: [
      [
        'agent/dist/quota-takeover.js',
        'return hasReported && now() >= knownSince + USAGE_EXPIRY_MS;',
        'return hasReported;',
      ],
    ],
  },
  {
    name: 'quota-gone-untold',
    rule: 'QUOTA: what a front machine ran that went before it told is overlooked',
    test: 'quota-guards.test.js',
    seeds: [1, 1],
    edits: [
      [
        'agent/dist/quota-takeover.js',
        `if (!hasReported)
                noLossSince = now();`,
        '',
      ],
    ],
  },
  {
    name: 'quota-came-meanwhile',
    rule: 'QUOTA: a front machine that came during a takeover is overlooked',
    test: 'quota-guards.test.js',
    seeds: [1, 1],
    edits: [['agent/dist/quota-takeover.js', 'if (isSoleHolder() && beganAt >= soleHolderFrom())', 'if (true)']],
  },
  {
    name: 'quota-relay-late-answer',
    rule: 'QUOTA: an answer that came too late is passed on',
    test: 'quota-guards.test.js',
    seeds: [1, 1],
    edits: [['agent/dist/quota-relay.js', 'if (answer.err || isLate)', 'if (answer.err)']],
  },
  {
    name: 'quota-never-told',
    rule: 'QUOTA: a proxy with nothing to tell is never heard of',
    test: 'quota-guards.test.js',
    seeds: [1, 1],
    edits: [
      [
        'agent/dist/quota-relay.js',
        'due.length === 0 && state.reportedLines.isInformed({ term, life })',
        'due.length === 0',
      ],
    ],
  },
  {
    name: 'quota-asked-behind',
    rule: 'QUOTA: a node that is behind asks a holder of long ago',
    test: 'quota-guards.test.js',
    seeds: [1, 1],
    edits: [
      [
        'agent/dist/quota-directory.js',
        'if (holder.err || world.now() >= (register?.currentUntil ?? 0))',
        'if (holder.err)',
      ],
    ],
  },
  {
    name: 'quota-asked-of-old-core',
    rule: 'QUOTA: a core of an earlier version is asked, and closes the link',
    test: 'quota-guards.test.js',
    seeds: [1, 1],
    edits: [['agent/dist/quota-directory.js', '(link.peer()?.epoch ?? 0) >= QUOTA_LINK_VERSION', 'true']],
  },
  {
    name: 'quota-change-untold',
    rule: 'QUOTA: a holder does not know what changed',
    test: 'quota-guards.test.js',
    seeds: [1, 1],
    edits: [['agent/dist/quota-told.js', 'previous && isSameLine(previous.line, line) &&', 'previous &&']],
  },
  {
    name: 'quota-refresh-untold',
    rule: 'QUOTA: a holder can take nothing back of what does not change',
    test: 'quota-guards.test.js',
    seeds: [1, 1],
    edits: [['agent/dist/quota-told.js', '&& now() - previous.reportedAt < QUOTA_REFRESH_INTERVAL_MS', '']],
  },
  {
    name: 'quota-grant-not-taken',
    rule: 'QUOTA: a grant that the proxy did not take stays counted',
    test: 'quota-guards.test.js',
    seeds: [1, 1],
    edits: [['agent/dist/quota-told.js', 'if ((granted.get(tenant) ?? held) === held)', 'if (true)']],
  },
  {
    name: 'quota-new-holder-untold',
    rule: 'QUOTA: a new holder is told only what changed',
    test: 'quota-guards.test.js',
    seeds: [1, 1],
    edits: [
      [
        'agent/dist/quota-told.js',
        `if (!isInformed(target))
            reportedByTenant.clear();
        const due = [];`,
        'const due = [];',
      ],
    ],
  },
  {
    name: 'quota-unanswered-not-told',
    rule: 'QUOTA: what was not answered counts as told',
    test: 'quota-guards.test.js',
    seeds: [1, 1],
    edits: [['agent/dist/quota-told.js', 'reportedByTenant.delete(line[0]);', '']],
  },
  {
    name: 'quota-slow-awaited',
    rule: 'a slow holder of quotas holds up the tenants of all others',
    test: 'quota-guards.test.js',
    seeds: [1, 1],
    edits: [['agent/dist/quota-relay.js', '(isSlow ? slowAnswers : promptAnswers)', 'promptAnswers']],
  },
  {
    name: 'quota-slow-flooded',
    rule: 'a slow holder of quotas is asked all the time',
    test: 'quota-guards.test.js',
    seeds: [1, 1],
    edits: [['agent/dist/quota-relay.js', '|| state.pending', '']],
  },
  {
    on: 'platform',
    name: 'line-end-bare-feed',
    rule: 'MIXED, UNASKED: a bare line feed inside a text or row ends the line',
    test: 'platform/dist/test/line-ends.test.js',
    seeds: [1, 1],
    edits: [['../platform/dist/lines.js', "const LINE_END = '\\r\\n';", "const LINE_END = '\\n';"]],
  },
  {
    name: 'http-answer-number',
    rule: 'a late second answer is taken for the answer to the next request',
    test: 'answers.test.js',
    seeds: [1, 1],
    edits: [['base/dist/http-client.js', 'answeredNumber !== requestNumber', 'false']],
  },
]
