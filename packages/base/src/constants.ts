// Every constant of the system: value, unit, reason. Operators never set these;
// what operators set stands in the configuration or in a settings file.

// --- terms (leases) ---
// ms. A write must stop within about 3 s of losing the core, so the term is shorter than that.
export const LEASE_DURATION_MS = 2500
// ms. Four renewals fit in a term, so three may be lost before a member stops working.
export const LEASE_RENEWAL_INTERVAL_MS = 600
// ms. What a core adds to a term on its own clock: two clocks may run apart by 4 % over one term.
export const LEASE_CLOCK_SLACK_MS = 100
// ms. A renewal round is abandoned then; the next beat tries anew.
export const LEASE_RENEWAL_TIMEOUT_MS = 500
// ms. A renewal that the voters asked first have not answered as a quorum by then asks all others too: many times the way
// between two zones and back, and it leaves most of the round's time.
export const LEASE_RENEWAL_HEDGE_MS = 150
// ms. A voter heard within this is expected to answer: each is asked at least every second round, and one answer may be lost.
export const VOTER_RECENCY_MS = 1900

// --- table cache ---
// share. How far any two clocks of the fleet run apart: what LEASE_CLOCK_SLACK_MS is of LEASE_DURATION_MS.
export const CLOCK_DRIFT_LIMIT = 0.04
// ms. A writer that holds a table's lock waits for readers in touch for this long at first, some ten times the way there and
// back, and twice as long with each lock that it had to give back.
export const INITIAL_LOCK_WAIT_MS = 200
// ms. A reader that hasn't acknowledged an announcement by then is suspended: many times the way there and back, and half a
// renewal, by which most find what they weren't pushed.
export const ANNOUNCEMENT_ACK_TIMEOUT_MS = 300
// ms. A writer's claim on the lock lasts this much longer than what it has to wait for: its commits, and the patience above.
export const LOCK_CLAIM_MARGIN_MS = 1000
// ms. A writer asks who acknowledged its lock at this interval: no reader in touch serves meanwhile.
export const LOCK_POLL_INTERVAL_MS = 20
// ms. The same for its announcement, and for a lock that another writer holds: nobody but the operator waits.
export const ANNOUNCEMENT_POLL_INTERVAL_MS = 100
// ms. A change that could not be made by then is dropped by its writer; operators expect an end within 6 s.
export const TABLE_CHANGE_TIMEOUT_MS = 6000

// --- register ---
// ms. A proposer's prepare must end within this of its first byte, else the round is void.
// An emptied core waits it out (times two for clocks that run apart) before it votes again.
export const ROUND_TIMEOUT_MS = 1000
// ms. Base of the random pause between a proposer's rounds, so that two proposers part.
export const ROUND_BACKOFF_MS = 30
// ms. A change that has not been settled then ends unclear and its caller must ask again.
export const CHANGE_TIMEOUT_MS = 5000
// ms. A caller that goes to another node after a second of silence is told within this what became of its change.
export const CHANGE_ANSWER_TIMEOUT_MS = 900
// bytes. Longest frame on an internal link: a whole configuration with its decisions fits many times.
export const FRAME_LIMIT_BYTES = 8 * 1024 * 1024
// count. Decisions kept for each operator stream; older numbers answer "forgotten".
export const MAX_DECISIONS_PER_STREAM = 256
// count. Operator streams kept; the one unused for longest is dropped first.
export const MAX_OPERATOR_STREAMS = 32
// count. Accepted changes kept for reading back, by epoch, stream and number: more than a day brings, and about 100 KiB.
export const MAX_HISTORY_ENTRIES = 2048
// count. The latest of them that are kept with their whole configuration.
export const MAX_KEPT_CONFIGURATIONS = 8
// count. Accepted changes that named their epoch, kept so that the same one sent again is told that it was taken. A storm
// of three changes a second fills them in 5 minutes, 47,000 changes a day in half an hour; a caller asks again within seconds.
// 57 bytes each with a stream of 22 letters: 58 KB of the value.
export const MAX_NAMED_CHANGES = 1024
// count. The fewest of them that any program which may share a register with this one keeps: where so many stand, older
// ones may be gone.
export const MIN_NAMED_CHANGES = 256
// bytes. Largest value of the configuration's register that a change may make; of one that names its epoch, the
// configuration alone is measured, so that two such parts and the names of the last changes fit a frame.
export const REGISTER_VALUE_LIMIT_BYTES = 3.5 * 1024 * 1024
// count. Nested parts of a value that a delta goes into; deeper ones are told whole. Configurations have under ten.
export const MAX_DELTA_DEPTH = 32
// count. Items that one delta may put together in all its arrays: many times the longest history (HISTORY_KEPT), and a
// short delta can't make a process build endless ones.
export const MAX_DELTA_ITEMS = 100000
// count. Latest deltas that a core keeps of each register, as long as they are smaller than its value: at ten changes a
// second a node that was away for half a minute is brought on by them.
export const MAX_KEPT_DELTAS = 256
// ms. A core that was subscribed at and said nothing for this long, two renewals and a half, is left for another.
export const SUBSCRIPTION_SILENCE_MS = 1500
// ms. What this node knew is told by the core subscribed at after no longer than this, if it isn't behind: changes reach the
// cores within milliseconds of each other.
export const SUBSCRIPTION_CHECK_INTERVAL_MS = 500
// count. Looks in a row, SUBSCRIBED_LAG apart, at which that core was behind, after which it is left for another.
export const MAX_SUBSCRIPTION_LAGS = 2
// ms. A core that was left, or refused, isn't subscribed at again for this long, so that nobody goes to and fro.
export const RESUBSCRIBE_DELAY_MS = 5000
// count. Cores that tell a node without duties of the members: one, and one that may be lost. Each line of a member goes to
// each node from each of them, so that with all nine a fleet of 85 nodes tells 100 MB while it starts.
export const MEMBER_SOURCE_COUNT = 2
// ms. A core that tells of members and was not heard for this long is left for another: two renewals.
export const MEMBER_SOURCE_SILENCE_MS = 1300
// bytes. A data file is rewritten when longer than this and than REWRITE_RATIO times what lives in it.
export const REWRITE_FLOOR_BYTES = 1024 * 1024
// ratio. See REWRITE_FLOOR; 4 keeps the mean cost of rewriting under a third of appending.
export const REWRITE_RATIO = 4

// count. Registers that a core remembers for another that was away; past it everything is handed over.
export const MAX_MISSED_REGISTERS = 32
// ms. Beat on which a core looks whom it can hand over to.
export const HANDOVER_INTERVAL_MS = 300

// ms. A core that holds nothing waits this long before it founds a set, so that agents which remember one can say so:
// longer than an agent's longest pause between dials and one renewal beat together.
export const FOUNDING_DELAY_MS = 2000
// ms. Pause between two rounds of asking the seeds for the core set: a first set is there within a second or so.
export const SEED_POLL_INTERVAL_MS = 500

// ms. A core whose storage lost what it promised answers nothing for this long after its start: a prepare that counts one of
// those promises is void ROUND_LIFE after it began, and two clocks may run apart by 4 % (see TERM_SLACK); 10 % are taken.
export const REFILL_DELAY_MS = 1100
// count. Registers that a refill, or the sweep before a set ends, reads at one time: each read is a round of two messages to
// each voter, and 16 of them keep a small machine busy for some milliseconds.
export const REFILL_BATCH_SIZE = 16
// ms. Pause between attempts to read and write a data file anew after a write failed: a full disk is freed by others.
export const DISK_RETRY_DELAY_MS = 1000

// --- the core set (docs/design/coreset.md) ---
// count. Most voters of a set that grows by itself: with nine, four losses at one moment are borne; each voter takes part in
// every lease and every round, so more are not taken however many core machines there are.
export const MAX_VOTERS = 9
// ms. A voter that was not heard for this long but for less than it takes to be replaced is in doubt, and no machine joins:
// it may be the one that the newcomer is to replace. Two heartbeats of a lease.
export const VOTER_SUSPICION_TIMEOUT_MS = 1200
// ms. A voter that nobody heard for this long is replaced by a fresh machine where every core machine votes: a machine that
// is no voter is there only because another was replaced, and a lease of the one that went has run out by then.
export const VOTER_REPLACEMENT_TIMEOUT_MS = 2500
// ms. A voter that nobody heard for this long leaves a set of an even number, where no fresh machine is there: the quorum is
// smaller without it. Longer than a process takes to start anew.
export const VOTER_REMOVAL_TIMEOUT_MS = 5000
// ms. A voter that nobody heard for this long is replaced by a spare, where the set has VOTERS_MOST voters and spares are
// always there: longer than a process takes to start anew (5 s) and than freezes of a few seconds.
export const SPARE_REPLACEMENT_TIMEOUT_MS = 8000
// ms. A newcomer that answers and has not begun to vote by then is given up. It votes as soon as the set is on its disk, or
// after a refill of REFILL_WAIT and two rounds for each register.
export const CORE_JOIN_TIMEOUT_MS = 8000
// ms. One that was given up is not tried again sooner.
export const JOIN_RETRY_DELAY_MS = 20000
// ms. Machines that come together are taken into the set together: how long a fresh one is waited with.
export const JOIN_BATCH_WINDOW_MS = 500
// ms. Interval at which the holder of the duty looks at the voters; a look that finds nothing to do sends nothing.
export const CORE_SET_INTERVAL_MS = 250
// ms. Interval at which the holder of the duty asks all voters, to say in the log when the next loss leaves no quorum.
export const QUORUM_MARGIN_INTERVAL_MS = 5000

// --- links ---
// ms. A dial on the local network that takes longer is a failure.
export const DIAL_TIMEOUT_MS = 1000
// ms. First and longest pause between dials of a lost link.
export const MIN_REDIAL_DELAY_MS = 100
export const MAX_REDIAL_DELAY_MS = 1000
// ms. A held link that heard nothing for this long is closed and dialled anew.
export const LINK_SILENCE_MS = 3000
// number. Version of the internal links; see docs/wire.md for the rule on mixed versions.
// 2: renewals tell what changed; no program of epoch 1 can read them. 3: values as deltas, pushes to subscribers alone.
// 4: a core offers what it could hand over, and hands over what the other lacks. 5: quotas are asked for.
export const LINK_VERSION = 5
export const MIN_LINK_VERSION = 2
// number. The least epoch of a link on which values may be told as deltas.
export const DELTA_LINK_VERSION = 3
// number. The least version of a link on which a handover is offered first.
export const OFFER_LINK_VERSION = 4
// number. The least version of a link on which a core is asked for tenants' quotas.
export const QUOTA_LINK_VERSION = 5

// --- agent and proxy ---
// ms. Beat on which a proxy tells its agent what it sees.
export const PROXY_REPORT_INTERVAL_MS = 300
// ms. An announcement not renewed for this long marks the instance as unheard (it announces each second).
export const ANNOUNCEMENT_LIFETIME_MS = 3500
// ms. How long an instance's word may be held up on its way, in a node that was frozen say: within it, its own count tells
// which of two words is the later; beyond it, the time at which they were heard.
export const MAX_ANNOUNCEMENT_DELAY_MS = 10000
// count. Instances that a node keeps in mind; further ones are not heard until others are forgotten.
export const MAX_KNOWN_INSTANCES = 4096
// ms. A leaving mark outlives the instance's last word for this long, so that nodes that were away learn it.
export const LEAVING_LIFETIME_MS = 120000
// ms. A leaving leader whose successor isn't there yet gets new work for this long; the users' bound is 7 s,
// of which up to 1.2 s may pass until each node has learned of it.
export const LEAVING_GRACE_MS = 5000
// ms. Beat on which agents look whether another needs a summary.
export const SUMMARY_INTERVAL_MS = 500
// ms. Longest pause between two summaries of a node that has something to say, though nothing of it changed.
export const SUMMARY_MAX_INTERVAL_MS = 2000
// count. Fronts that tell the holder of a duty, without being asked, that leaders answer them; the others tell it what fails
// alone. At two operations in five seconds for each, some ten of them have a good answer of the last GOOD_OBSERVATION_MS.
export const WITNESS_COUNT = 24
// count. Retries of a group known of all nodes, past which nodes without any tell how much they send: half of those at which
// the cap on retries over all nodes begins to bind (RETRY_TOKENS).
export const RETRY_REPORT_THRESHOLD = 10
// ms. What each proxy's node adds to the pause between summaries that tell all others nothing new: every node then hears at
// most 20 of them a second. Up to ten such nodes the pause stays what it was.
export const SUMMARY_SPACING_MS = 50
// count. Beats on which a change is told, as datagrams are lost now and then.
export const SUMMARY_REPEATS = 3
// count. Nodes whose newest summary is kept.
export const MAX_CACHED_SUMMARIES = 256
// ms. A summary older than this is no longer a hint: two slow ones may be lost.
export const SUMMARY_LIFETIME_MS = 5000
// ms. What a node saw of instances is told on each beat, and past this it says nothing of them any more.
export const OBSERVATION_LIFETIME_MS = 2000
// number. Version of summaries; others are ignored.
export const SUMMARY_VERSION = 1
// bytes. Largest summary sent: one datagram without fragments on common links.
export const SUMMARY_LIMIT_BYTES = 1400

// --- instances ---
// ms. Beat of STATUS samples by each proxy; two fit well inside the tightest freshness bound (1.5 s).
export const SAMPLE_INTERVAL_MS = 300
// ms. A STATUS call that takes longer has failed.
export const SAMPLE_TIMEOUT_MS = 800
// calls. A follower in another area is chosen only where the own one has this many more calls in flight: high
// enough to keep reads near, low enough that a slow one near isn't flooded.
export const OTHER_ZONE_LOAD_COST = 4
// ms. Opening a connection gets at least this, however short its lane's aim: it takes a turn among the instance's work.
export const MIN_DIAL_TIMEOUT_MS = 100
// count. Failed sends in a row, with no answer between, that put an instance in doubt where nothing samples it.
export const FAILURES_BEFORE_SUSPICION = 2
// ms. First and longest pause before one call tries an instance in doubt, where nothing samples it: short beside a
// promotion, long beside a call's way there.
export const MIN_TRIAL_DELAY_MS = 100
export const MAX_TRIAL_DELAY_MS = 1000
// ms. An idle instance connection is closed after this, before an instance's own keep-alive (5 s or more).
export const POOL_IDLE_TIMEOUT_MS = 3000
// ms. Most time that a pool spends in waiting for a connection in one send.
export const CHECK_OUT_TIMEOUT_MS = 2000
// ms. Reset of a returned connection; on failure the connection is closed.
export const RESET_TIMEOUT_MS = 1000

// --- retry (see docs/retry.md) ---
// ms. Budget of a call: a promotion takes 12 to 15 s at worst in the paper's account.
export const RETRY_BUDGET_MS = 15000
// ms. Limit of one send.
export const ATTEMPT_TIMEOUT_MS = 5000
// count. Sends of a call at most.
export const MAX_ATTEMPTS = 3
// ms. Base of the exponential pause: 2^attempt times this.
export const BACKOFF_BASE_MS = 500
// ratio. A lane that names the latency it aims at has its calls wait this much of it for a leader or a connection; past
// it they are refused at once, with nothing run, and told when to come back.
export const QUEUE_TIMEOUT_SHARE = 0.2
// ratio. Of the time that a statement has: how long it waits for a leader that is being promoted. Under half, so that one
// that is refused after all can still be asked again.
export const PROMOTION_WAIT_SHARE = 0.45
// ratio. Of the lane's aim: how long a read's send waits for its answer while another send may follow, and how long a
// statement in a transaction waits, which ends the transaction. Both well above the work of one statement.
export const ATTEMPT_TIMEOUT_SHARE = 0.5
export const STATEMENT_TIMEOUT_SHARE = 1.5
// ratio. Base of the pause between sends, of the lane's aim, where that is under BACKOFF.
export const BACKOFF_SHARE = 0.1
// ms. Spread over which calls that waited for a promotion wake, so that the new leader isn't hit at once.
export const WAKE_UP_JITTER_MS = 250
// tokens. Retry tokens per group and proxy: what it starts with and can hold at most.
export const RETRY_TOKENS = 20
// tokens. Gained with each first send: retries are at most a fifth of first sends in the long run.
export const RETRY_TOKENS_PER_ATTEMPT = 0.2
// ms. Window over which the breaker counts; a sustained rate, not a blip.
export const BREAKER_WINDOW_MS = 5000
// count. Fewest results in a window from which the breaker may open.
export const BREAKER_MIN_RESULTS = 20
// ratio. Failures in a window that open the breaker.
export const BREAKER_FAILURE_RATE = 0.5
// ms. Pause before half-open probes; jitter up to half of it is added.
export const BREAKER_OPEN_MS = 2000
// count. Good probes in a row that close the breaker.
export const BREAKER_PROBES = 3
// ratio. Exhausted budgets over retried calls that raise the alert; from the paper.
export const EXHAUSTION_ALERT_RATE = 0.05
// count. Fewest retried calls in a window before the alert may be raised.
export const EXHAUSTION_MIN_RESULTS = 20
// ms. Window of that alert.
export const EXHAUSTION_WINDOW_MS = 30000

// --- sessions ---
// ms. Interval at which a proxy tells of clients that it refused for their keys, by reason.
export const KEY_REFUSAL_LOG_INTERVAL_MS = 10000
// count. Keys that a proxy refused or saw removed, of which it keeps the hashes to tell why a client is refused.
export const MAX_REMEMBERED_KEYS = 1000
// count. Open sessions a proxy holds at most.
export const MAX_SESSIONS = 4000
// ms. A session unused for this long is closed (sessions stay open and idle for hours).
export const SESSION_IDLE_TIMEOUT_MS = 8 * 3600 * 1000
// ms. Interval at which open transactions are looked at for whether they are to end.
export const SESSION_SWEEP_INTERVAL_MS = 250
// ms. An open transaction that hears nothing from its requester for this long is rolled back.
export const TRANSACTION_IDLE_TIMEOUT_MS = 10000
// count. Calls pending per lane at most; more are refused at once.
export const MAX_QUEUED_CALLS = 256
// ms. Open transactions get this long when their leader, lane or node is stopped on purpose.
export const DRAIN_TIMEOUT_MS = 3000
// ms. A node that leaves takes new connections for this long after it first said so: whoever hands them out asks each
// second, and believes the second miss.
export const NOT_READY_NOTICE_MS = 2500
// ms. An agent that stops waits this long for its proxy, where that stops too: DRAIN and a send, and less than machines
// are given to stop.
export const SHUTDOWN_TIMEOUT_MS = 5500
// ms. Answers in flight at an edge get this long at its end; at the requesters' edge, a whole send and this.
export const CLOSE_TIMEOUT_MS = 1500
// bytes. Largest HTTP body taken.
export const BODY_LIMIT_BYTES = 256 * 1024
// bytes. Largest operator body (a stream may carry many configurations).
export const OPERATOR_BODY_LIMIT_BYTES = 4 * 1024 * 1024
// ms. A request whose body has not come in whole by then is refused; bodies are small and links quick.
export const BODY_TIMEOUT_MS = 10000
// ms. At an edge's end a connection that was opened or used within this may have a request on its way, and is waited for.
export const CONNECTION_GRACE_MS = 250
// count. Connections that one edge holds at most; further ones are closed at once.
export const MAX_LISTENER_CONNECTIONS = 20000
// count. Connections that the edge for operators and announcements holds: some hundred instances keep one each.
export const MAX_CONTROL_CONNECTIONS = 1024
// ms. A connection there that asks nothing for this long is closed; instances speak each second or so.
export const CONTROL_IDLE_TIMEOUT_MS = 15000
// bytes. All bodies there that are read or answered at one time: four of the largest, well within a small machine's memory.
export const CONTROL_BODIES_LIMIT_BYTES = 16 * 1024 * 1024
// bytes. Largest announcement.
export const ANNOUNCEMENT_LIMIT_BYTES = 4096
// ms. A reader of the stream of decisions is looked after at least this often, to notice that it went away.
export const DECISION_READER_CHECK_INTERVAL_MS = 2000
// s. Retry-After for refusals by overload, and while a promotion or a term is awaited.
export const RETRY_AFTER_OVERLOAD_S = 1
export const RETRY_AFTER_PROMOTION_S = 2
export const RETRY_AFTER_BREAKER_S = 3
// s. Retry-After for operations beyond their tenant's limit: some of what it used has left the window by then.
export const RETRY_AFTER_QUOTA_S = 1

// --- policies ---
// steps of the Lua machine. A policy that matches by a few comparisons takes under 100; 10000 take about a millisecond.
export const MAX_POLICY_STEPS = 10000
// ratio. Of a proxy's descriptors: what client connections may have; the rest is for instances, the agent and files.
export const CLIENT_DESCRIPTORS_SHARE = 0.75
// ms. A client connection that hasn't begun its session by then is closed.
export const SESSION_START_TIMEOUT_MS = 10000
// count. Questions of one client connection that wait for an answer; past it, it isn't read on.
export const MAX_CLIENT_PENDING_REQUESTS = 64
// bytes. The same by size. One question may be longer by itself.
export const CLIENT_PENDING_REQUESTS_LIMIT_BYTES = 256 * 1024
// bytes. Answers that one client connection hasn't read; past it none of its questions is taken up.
export const CLIENT_UNREAD_ANSWERS_LIMIT_BYTES = 1024 * 1024
// bytes. Both for all client connections of a process: a third of the memory that it is started with. A connection that would
// go past it is ended.
export const ALL_CLIENTS_MEMORY_LIMIT_BYTES = 64 * 1024 * 1024
// bytes. What a client set and prepared in one session; past it SET and PREPARE are refused.
export const SESSION_STATE_LIMIT_BYTES = 256 * 1024
// bytes. The same for all sessions of a process.
export const ALL_SESSION_STATE_LIMIT_BYTES = 32 * 1024 * 1024
// bytes. What each value or prepared statement takes beside its texts.
export const SESSION_STATE_ENTRY_BYTES = 100
// bytes. A pooled connection with longer settings in force is not kept idle.
export const IDLE_CONNECTION_SETTINGS_LIMIT_BYTES = 16 * 1024
// count. A pooled connection with more prepared statements is reset before its next use.
export const MAX_CONNECTION_PREPARED_STATEMENTS = 256
// bytes. Longest policy.
export const POLICY_LIMIT_BYTES = 16384

// --- duty (promotion) ---
// ms. Beat of the duty's loop for a group.
export const FAILOVER_INTERVAL_MS = 400
// ms. A leader that the holder could not reach for this long is suspected, where other nodes' word is weak (see docs/design/detection.md).
export const SUSPICION_TIMEOUT_MS = 2500
// ms. The same where several nodes fail against it and none succeeds: longer than a process takes to start anew or
// connections to be dialled again after a reset, as a wrong move costs about as much again.
export const CONFIRMED_SUSPICION_TIMEOUT_MS = 300
// ms. For this long after a duty was taken over from a holder that went, a leader that nobody hears any more is suspected
// after SUSPECT_SURE: its last announcement is forgotten at most ANNOUNCE_LIFE after it was heard, and a look or two follow.
export const TAKEOVER_SUSPICION_WINDOW_MS = 5000
// ms. Beat on which a proxy looks whether calls wait so.
export const STALL_INTERVAL_MS = 100
// ms. Calls that wait at an instance this long without one good answer count as failing: many times a statement's work.
export const STALL_TIMEOUT_MS = 400
// ms. A good answer counts against a failure only if it came this much later: a way between nodes and one over loopback lie between.
export const OBSERVATION_SKEW_MS = 30
// ms. A leader that answered us well while others complain is not asked again sooner; a statement costs it work.
export const LEADER_PROBE_INTERVAL_MS = 1000
// ms. Beat of looks while a move stops the group, for acknowledgements: the cores are asked.
export const PROMOTION_INTERVAL_MS = 40
// ms. Beat of looks at instances then: each costs a connection; a change of role is announced at once besides.
export const CANDIDATE_PROBE_INTERVAL_MS = 200
// ms. Before the promotion call is made again for the same candidate: refused (the pause doubles), unclear, or promised.
export const PROMOTION_REFUSED_DELAY_MS = 300
export const PROMOTION_UNCLEAR_DELAY_MS = 1000
export const PROMOTION_DONE_DELAY_MS = 3000
// ms. An instance that leads beside the record's leader is told to step down no more often than this.
export const DEMOTION_INTERVAL_MS = 1000
// ms. Of two candidates that hold the same, one that came this much later is taken: where instances are replaced one
// after the other, the older is the next to go.
export const NEWER_CANDIDATE_MARGIN_MS = 3000
// ms. A leader outside its group's home areas is brought home once an instance there has been well for this long without
// a break: longer than an area that comes and goes takes to show it, as each move stalls writes for a moment.
export const HOME_RETURN_DELAY_MS = 20000
// ms. The wait for a follower to catch up on a planned replacement; past it the replacement is called off.
export const CATCH_UP_TIMEOUT_MS = 5000
// ms. Limit of the holder's STATUS call to a leader: shorter than a sample's, as its end decides when the next look is.
export const LEADER_PROBE_TIMEOUT_MS = 500
// ms. Limit of a STATUS call to a leader already suspected: it is asked in case it came back, and must not
// hold the move up for as long as one that is well.
export const SUSPECT_PROBE_TIMEOUT_MS = 100
// ms. How long a move waits for commits that nodes saw acknowledged to turn up at some instance,
// before it goes on without them and says so: a crashed leader's restart takes about this long.
export const MISSING_COMMITS_WAIT_MS = 3000
// ms. A replica that nobody has heard for this long is no longer waited for with synchronous commits, once another holds all
// that the leader holds: longer than a restart, or a partition that heals by itself.
export const REPLICA_ABSENCE_MS = 20000
// ms. Interval at which the holder tells which replicas it waits for.
export const PROMOTION_WAIT_LOG_INTERVAL_MS = 5000
// ms. A node that heard the leader within this speaks against suspicion.
export const LEADER_EVIDENCE_LIFETIME_MS = 1500
// ms. Limit of the POST /promotion call; past it the outcome is unclear and STATUS decides.
export const PROMOTION_TIMEOUT_MS = 3000
// ms. How long one candidate is tried before another is recorded.
export const CANDIDATE_TIMEOUT_MS = 4000

// --- moves of lanes between groups ---
// ms. A target that holds what the source had this long ago is near enough for writes to stop.
export const MOVE_CUTOVER_LAG_MS = 1000
// ms. Writes of a lane under move stop for this long at most, then the move is called off: with the drain before it, a
// call that waits is still served within its budget.
export const MOVE_PAUSE_LIMIT_MS = 8000

// --- quotas of tenants (docs/design/quotas.md) ---
// ms. Operations of a tenant are counted within every span of this length.
export const QUOTA_WINDOW_MS = 5000
// ms. The span in which a proxy counts what it sends: the rule's, and 4 % for clocks that run apart, and the way to an instance.
export const QUOTA_METER_WINDOW_MS = 5250
// ms. Operations sent this close to each other may be counted as one lot, by the time of its last.
export const QUOTA_METER_RESOLUTION_MS = 10
// ms. Interval at which a proxy tells what its tenants hold, use and want, while there is anything to tell.
export const QUOTA_REPORT_INTERVAL_MS = 500
// ms. The same for a proxy that holds nothing: a new holder waits until it has heard that.
export const QUOTA_IDLE_REPORT_INTERVAL_MS = 1000
// ms. The least time from an answer to a proxy's next question. It gathers what comes at once.
export const QUOTA_REQUEST_MIN_INTERVAL_MS = 2
// ms. Until a question is asked that can wait a little: most of an allowance is used, or some of one can be told back.
export const QUOTA_REQUEST_DELAY_MS = 50
// ratio. Of the time that a statement has: how long it waits for an allowance at most, and no longer than its route aims at. An
// answer that there is none ends the wait at once, so that only those wait whose answer is on its way.
export const QUOTA_WAIT_SHARE = 0.45
// ms. A question that wasn't answered by then is given up: longer than an agent waits for a holder.
export const QUOTA_REQUEST_TIMEOUT_MS = 500
// ms. Until the next question, after one that nobody answered.
export const QUOTA_REQUEST_RETRY_DELAY_MS = 100
// ms. A tenant that was given less than it wants isn't asked for again sooner; what has no allowance is refused at once.
export const QUOTA_DENIAL_BACKOFF_MS = 200
// ms. An allowance that wasn't used for two windows is given back.
export const QUOTA_ALLOWANCE_IDLE_TIMEOUT_MS = 10000
// ratio. Of an allowance: what is left of it when more is asked for.
export const QUOTA_LOW_SHARE = 0.25
// operations. A smaller allowance isn't asked for before it is used up: it would be with each operation.
export const QUOTA_MIN_LOW_ALLOWANCE = 4
// operations, and ratio of what a proxy wants: what it is given beside that, if there is so much for all, so that operations needn't
// wait for an answer.
export const QUOTA_MIN_EXTRA = 2
export const QUOTA_EXTRA_SHARE = 0.5
// ratio. Of what nobody wants: what proxies may have as extras. The rest is free for those that begin to want.
export const QUOTA_SPARE_SHARE = 0.75
// ratio. The same where that isn't one operation for each proxy.
export const QUOTA_SCARCE_SPARE_SHARE = 0.25
// ratio. Of a tenant's limit: what is kept for a new holder to grant at once, unless the tenant wants more than the rest.
export const QUOTA_RESERVE_SHARE = 0.25
// ratio. Of the rest: what a tenant needs for the reserve to be lent, and at the most for it to be kept again.
export const QUOTA_RESERVE_LEND_SHARE = 0.85
export const QUOTA_RESERVE_RETURN_SHARE = 0.7
// operations. What a holder answers where there is no limit.
export const QUOTA_UNLIMITED = 1_000_000_000
// ms. A refused tenant is logged no more often.
export const QUOTA_LOG_INTERVAL_MS = 5000
// count. Parts of the tenants, each with a holder of its own: the holder of one is lost without the others.
export const QUOTA_SLOTS = 2
// ms. A holder that doesn't answer a front machine within this is left out of the answer to its proxy: many times the way between two
// zones, and a share of the time that an operation without an allowance may wait.
export const QUOTA_ANSWER_TIMEOUT_MS = 250
// ms. What a proxy holds and wants of a tenant is told again after no longer than this, though nothing of it changed.
export const QUOTA_REFRESH_INTERVAL_MS = 1000
// ms. Interval at which an agent looks whether a new holder is to be told that no proxy works on this machine.
export const QUOTA_ABSENCE_INTERVAL_MS = 1000

// --- settings ---
// ms. Beat on which a settings file is looked at, for changes without a signal.
export const SETTINGS_INTERVAL_MS = 1000
