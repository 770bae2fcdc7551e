/**
 * All constants of the system with their unit and reason. Operators cannot set these;
 * what operators set is in the configuration or in a settings file.
 */

// --- leases ---
/** ms. A write must stop within about 3 s of losing the core, so a lease is shorter than that. */
export const LEASE_DURATION_MS = 2500
/** ms. Four renewals fit into a lease, so three may be lost before a member stops working. */
export const LEASE_RENEWAL_INTERVAL_MS = 600
/** ms. Added to a lease by the core on its own clock: two clocks may drift apart by 4 % over one lease. */
export const LEASE_CLOCK_SLACK_MS = 100
/** ms. Deadline of a renewal round; the next interval starts a new one. */
export const LEASE_RENEWAL_TIMEOUT_MS = 500
/**
 * ms. A renewal that the voters asked first have not answered as a quorum by then is sent to all others too. It is many
 * times the round trip between two zones and leaves most of the round's time.
 */
export const LEASE_RENEWAL_HEDGE_MS = 150
/**
 * ms. A voter heard within this is expected to answer: each is asked at least every second round, and one answer may be
 * lost.
 */
export const VOTER_RECENCY_MS = 1900

// --- table cache ---
/**
 * ratio. Largest assumed drift between any two clocks of the fleet: LEASE_CLOCK_SLACK_MS as a share of
 * LEASE_DURATION_MS.
 */
export const CLOCK_DRIFT_LIMIT = 0.04
/**
 * ms. How long a writer that holds a table's lock first waits for connected readers, some ten round trips. The wait
 * doubles with each lock that the writer had to release.
 */
export const INITIAL_LOCK_WAIT_MS = 200
/**
 * ms. A reader that has not acknowledged an announcement by then is suspended: many round trips, and half a renewal
 * interval, by which most readers learn what was not pushed to them.
 */
export const ANNOUNCEMENT_ACK_TIMEOUT_MS = 300
/**
 * ms. A writer's claim on the lock lasts this much longer than what it has to wait for: its commits and the waits
 * above.
 */
export const LOCK_CLAIM_MARGIN_MS = 1000
/** ms. Interval at which a writer asks who acknowledged its lock: no connected reader serves meanwhile. */
export const LOCK_POLL_INTERVAL_MS = 20
/** ms. The same for an announcement, and for a lock that another writer holds: only the operator waits. */
export const ANNOUNCEMENT_POLL_INTERVAL_MS = 100
/** ms. A table change that was not made by then is abandoned by its writer; operators expect a result within 6 s. */
export const TABLE_CHANGE_TIMEOUT_MS = 6000

// --- register ---
/**
 * ms. A proposer's prepare must end within this of its first byte, or the round is void. A core that lost its storage
 * waits this long (doubled for clock drift) before it votes again.
 */
export const ROUND_TIMEOUT_MS = 1000
/** ms. Base of the random backoff between a proposer's rounds, so that two proposers stop colliding. */
export const ROUND_BACKOFF_MS = 30
/** ms. A change that is not decided by then ends with an unclear outcome, and its caller must ask again. */
export const CHANGE_TIMEOUT_MS = 5000
/** ms. A caller that turns to another node after a second without an answer learns its change's outcome within this. */
export const CHANGE_ANSWER_TIMEOUT_MS = 900
/** bytes. Longest frame on an internal link: a whole configuration with its decisions fits many times. */
export const FRAME_LIMIT_BYTES = 8 * 1024 * 1024
/** count. Decisions kept for each operator stream; older numbers are answered with "forgotten". */
export const MAX_DECISIONS_PER_STREAM = 256
/** count. Operator streams kept; the least recently used one is dropped first. */
export const MAX_OPERATOR_STREAMS = 32
/** count. Accepted changes kept for lookup by epoch, stream and number: more than a day brings, and about 100 KiB. */
export const MAX_HISTORY_ENTRIES = 2048
/** count. The latest of those changes that are kept with their whole configuration. */
export const MAX_KEPT_CONFIGURATIONS = 8
/**
 * count. Accepted changes that named their epoch, kept so that a repeated one is answered as already accepted. A burst
 * of three changes a second fills them in 5 minutes, 47,000 changes a day in half an hour; a caller repeats a change
 * within seconds. 57 bytes each with a stream name of 22 letters: 58 KB of the value.
 */
export const MAX_NAMED_CHANGES = 1024
/**
 * count. The fewest named changes that any program version sharing a register with this one keeps: where this many are
 * present, older ones may have been dropped.
 */
export const MIN_NAMED_CHANGES = 256
/**
 * bytes. Largest value of the configuration register that a change may produce. For a change that names its epoch only
 * the configuration is measured, so that two such parts and the names of the last changes fit into a frame.
 */
export const REGISTER_VALUE_LIMIT_BYTES = 3.5 * 1024 * 1024
/**
 * count. Nesting depth of a value down to which a delta descends; deeper parts are sent whole. Configurations are
 * nested fewer than ten levels deep.
 */
export const MAX_DELTA_DEPTH = 32
/**
 * count. Items that one delta may assemble in all its arrays: many times the longest history (MAX_HISTORY_ENTRIES), and
 * a short delta cannot make a process build unbounded arrays.
 */
export const MAX_DELTA_ITEMS = 100000
/**
 * count. Latest deltas that a core keeps of each register while together they are smaller than its value. At ten
 * changes a second they bring a node up to date that was disconnected for half a minute.
 */
export const MAX_KEPT_DELTAS = 256
/**
 * ms. A node leaves a core that it subscribed to and that sent nothing for this long, two and a half renewal intervals.
 */
export const SUBSCRIPTION_SILENCE_MS = 1500
/**
 * ms. Interval at which a node checks whether the core that it subscribed to has sent by now what the node knew at the
 * previous check: changes reach the cores within milliseconds of each other.
 */
export const SUBSCRIPTION_CHECK_INTERVAL_MS = 500
/** count. Consecutive checks, SUBSCRIPTION_CHECK_INTERVAL_MS apart, that find the core behind before it is left. */
export const MAX_SUBSCRIPTION_LAGS = 2
/**
 * ms. A node does not subscribe again to a core that it left or that refused it for this long, to avoid oscillation.
 */
export const RESUBSCRIBE_DELAY_MS = 5000
/**
 * count. Cores that send the member list to a node without duties: one, and one that may be lost. Every member line
 * goes to every node from each of them: with all nine cores, a fleet of 85 nodes sends 100 MB while it starts.
 */
export const MEMBER_SOURCE_COUNT = 2
/**
 * ms. A core that sends member lists and was not heard for this long, two renewal intervals, is replaced by another.
 */
export const MEMBER_SOURCE_SILENCE_MS = 1300
/** bytes. A data file is rewritten when it is longer than this and than REWRITE_RATIO times its live records. */
export const REWRITE_FLOOR_BYTES = 1024 * 1024
/** ratio. See REWRITE_FLOOR_BYTES; 4 keeps the mean cost of rewriting below a third of the cost of appending. */
export const REWRITE_RATIO = 4

/**
 * count. Registers that a core remembers for another one that was unreachable; beyond it, all registers are handed
 * over.
 */
export const MAX_MISSED_REGISTERS = 32
/** ms. Interval at which a core looks for cores that it can hand over to. */
export const HANDOVER_INTERVAL_MS = 300

/**
 * ms. A core with empty storage waits this long before it founds a core set, so that agents which remember a set can
 * report it: longer than an agent's longest redial delay plus one renewal interval.
 */
export const FOUNDING_DELAY_MS = 2000
/** ms. Pause between two rounds of asking the seeds for the core set: a first set exists within about a second. */
export const SEED_POLL_INTERVAL_MS = 500

/**
 * ms. A core whose storage lost its promises answers nothing for this long after its start: a prepare that counts one
 * of those promises is void ROUND_TIMEOUT_MS after it began, and two clocks may drift apart by 4 % (see
 * CLOCK_DRIFT_LIMIT); 10 % are allowed for.
 */
export const REFILL_DELAY_MS = 1100
/**
 * count. Registers read at one time by a refill, or by the sweep before a core set ends: each read is a round of two
 * messages to each voter, and 16 of them keep a small machine busy for some milliseconds.
 */
export const REFILL_BATCH_SIZE = 16
/**
 * ms. Pause between attempts to read and rewrite a data file after a failed write: space on a full disk is freed by
 * others.
 */
export const DISK_RETRY_DELAY_MS = 1000

// --- core set (docs/design/coreset.md) ---
/**
 * count. Most voters of a set that grows by itself: nine voters tolerate four simultaneous losses. Each voter takes
 * part in every lease and every round, so no more are taken, however many core machines there are.
 */
export const MAX_VOTERS = 9
/**
 * ms. While a voter was not heard for this long, but for less than it takes to be replaced, no machine joins: the voter
 * may be the one that the newcomer is to replace. Two lease renewal intervals.
 */
export const VOTER_SUSPICION_TIMEOUT_MS = 1200
/**
 * ms. A voter that nobody heard for this long is replaced by a fresh machine where all core machines are voters:
 * a machine that is not a voter exists only because another was replaced, and a lease of the lost one has expired then.
 */
export const VOTER_REPLACEMENT_TIMEOUT_MS = 2500
/**
 * ms. A voter that nobody heard for this long is removed from a set of even size where there is no fresh machine: the
 * quorum is smaller without it. Longer than a process restart.
 */
export const VOTER_REMOVAL_TIMEOUT_MS = 5000
/**
 * ms. A voter that nobody heard for this long is replaced by a spare where the set has MAX_VOTERS voters and there are
 * always spares: longer than a process restart (5 s) and than freezes of a few seconds.
 */
export const SPARE_REPLACEMENT_TIMEOUT_MS = 8000
/**
 * ms. A newcomer that answers but does not vote by then is given up. It votes as soon as the set is on its disk, or
 * after a refill of REFILL_DELAY_MS and two rounds for each register.
 */
export const CORE_JOIN_TIMEOUT_MS = 8000
/** ms. A newcomer that was given up is not tried again sooner. */
export const JOIN_RETRY_DELAY_MS = 20000
/** ms. How long a fresh machine is held back so that machines that arrive together join the set together. */
export const JOIN_BATCH_WINDOW_MS = 500
/** ms. Interval at which the duty holder checks the voters; a check that finds nothing to do sends nothing. */
export const CORE_SET_INTERVAL_MS = 250
/** ms. Interval at which the duty holder asks all voters, to log when one more loss would leave no quorum. */
export const QUORUM_MARGIN_INTERVAL_MS = 5000

// --- links ---
/** ms. A dial on the local network that takes longer has failed. */
export const DIAL_TIMEOUT_MS = 1000
/** ms. First delay before a lost link is dialled again. */
export const MIN_REDIAL_DELAY_MS = 100
/** ms. Longest delay before a lost link is dialled again. */
export const MAX_REDIAL_DELAY_MS = 1000
/** ms. A persistent link that received nothing for this long is closed and dialled again. */
export const LINK_SILENCE_MS = 3000
/**
 * number. Version of the internal links; see docs/wire.md for the rule on mixed versions. 2: renewals send what
 * changed; programs of version 1 cannot read them. 3: values are sent as deltas and pushed to subscribers only. 4: a
 * core offers what it could hand over, and hands over what the other lacks. 5: quotas are requested.
 */
export const LINK_VERSION = 5
/** number. Lowest link version that this program speaks. */
export const MIN_LINK_VERSION = 2
/** number. Lowest link version on which values may be sent as deltas. */
export const DELTA_LINK_VERSION = 3
/** number. Lowest link version on which a handover is offered first. */
export const OFFER_LINK_VERSION = 4
/** number. Lowest link version on which a core is asked for tenants' quotas. */
export const QUOTA_LINK_VERSION = 5

// --- agent and proxy ---
/** ms. Interval at which a proxy reports its observations to its agent. */
export const PROXY_REPORT_INTERVAL_MS = 300
/**
 * ms. An instance whose announcement is not renewed for this long counts as silent (it announces itself every second).
 */
export const ANNOUNCEMENT_LIFETIME_MS = 3500
/**
 * ms. How long an instance's announcement may be delayed on its way, for example in a frozen node. Within this the
 * instance's own counter tells which of two announcements is the later; beyond it, the times at which they were
 * received.
 */
export const MAX_ANNOUNCEMENT_DELAY_MS = 10000
/** count. Instances that a node tracks; further ones are ignored until others are forgotten. */
export const MAX_KNOWN_INSTANCES = 4096
/**
 * ms. A leaving mark outlives the instance's last announcement by this, so that nodes that were disconnected learn of
 * it.
 */
export const LEAVING_LIFETIME_MS = 120000
/**
 * ms. A leaving leader without a successor still gets new work for this long; the users' bound is 7 s, of which up to
 * 1.2 s may pass until each node has learned of it.
 */
export const LEAVING_GRACE_MS = 5000
/** ms. Interval at which agents check whether another agent needs a summary. */
export const SUMMARY_INTERVAL_MS = 500
/** ms. Longest pause between two summaries of a node that has something to report, though none of it changed. */
export const SUMMARY_MAX_INTERVAL_MS = 2000
/**
 * count. Proxy nodes that report to a duty holder, without being asked, that leaders answer them; the others report
 * failures only. At two operations in five seconds each, some ten of them have a successful answer within
 * LEADER_EVIDENCE_LIFETIME_MS.
 */
export const WITNESS_COUNT = 24
/**
 * count. Retries of a group known from all nodes above which nodes without any retries report how much they send: half
 * of the retries at which the cap over all nodes takes effect (RETRY_TOKENS).
 */
export const RETRY_REPORT_THRESHOLD = 10
/**
 * ms. Added for each proxy node to the pause between summaries that bring all others nothing new, so that every node
 * receives at most 20 of them a second. Up to ten such nodes the pause is not lengthened.
 */
export const SUMMARY_SPACING_MS = 50
/** count. Intervals in which a change is sent again, as datagrams are lost now and then. */
export const SUMMARY_REPEATS = 3
/** count. Nodes whose newest summary is kept. */
export const MAX_CACHED_SUMMARIES = 256
/** ms. An older summary is no longer used as a hint: two summaries at the longest pause may be lost. */
export const SUMMARY_LIFETIME_MS = 5000
/**
 * ms. A node's observations of instances are sent at each interval; an older one says nothing of the instance any more.
 */
export const OBSERVATION_LIFETIME_MS = 2000
/** number. Version of summaries; others are ignored. */
export const SUMMARY_VERSION = 1
/** bytes. Largest summary sent: one datagram without fragments on common links. */
export const SUMMARY_LIMIT_BYTES = 1400

// --- instances ---
/** ms. Interval of STATUS samples by each proxy; two fit well inside the tightest freshness bound (1.5 s). */
export const SAMPLE_INTERVAL_MS = 300
/** ms. A STATUS call that takes longer has failed. */
export const SAMPLE_TIMEOUT_MS = 800
/**
 * calls. A follower in another zone is chosen only if the one in the own zone has this many more calls in flight: high
 * enough to keep reads near, low enough that a slow nearby follower is not overloaded.
 */
export const OTHER_ZONE_LOAD_COST = 4
/**
 * ms. Least time to open a connection, however low its lane's target latency: the dial queues behind the instance's
 * work.
 */
export const MIN_DIAL_TIMEOUT_MS = 100
/**
 * count. Consecutive failed attempts without an answer between them that make an instance suspect where nothing samples
 * it.
 */
export const FAILURES_BEFORE_SUSPICION = 2
/**
 * ms. First delay before one call tries a suspect instance that nothing samples: short compared with a promotion, long
 * compared with a call's way there.
 */
export const MIN_TRIAL_DELAY_MS = 100
/** ms. Longest delay before one call tries a suspect instance that nothing samples. */
export const MAX_TRIAL_DELAY_MS = 1000
/** ms. An idle instance connection is closed after this, before an instance's own keep-alive ends (5 s or more). */
export const POOL_IDLE_TIMEOUT_MS = 3000
/** Answers of a connection that are told apart by content; one that has given more is closed after its use. */
export const ANSWER_HISTORY_LIMIT = 1024
/** ms. Longest wait for the proof that an answer is not a repeat of an earlier one. */
export const ANSWER_PROOF_TIMEOUT_MS = 200
/** ms. Least time between two log lines about the same kind of protocol error. */
export const PROTOCOL_ERROR_LOG_INTERVAL_MS = 5000
/** ms. Longest wait for a connection from the pool in one attempt. */
export const CHECK_OUT_TIMEOUT_MS = 2000
/** ms. Deadline for resetting a returned connection; if it fails, the connection is closed. */
export const RESET_TIMEOUT_MS = 1000

// --- retries (see docs/retry.md) ---
/** ms. Time budget of a call: a promotion takes 12 to 15 s at worst according to the paper. */
export const RETRY_BUDGET_MS = 15000
/** ms. Timeout of one attempt. */
export const ATTEMPT_TIMEOUT_MS = 5000
/** count. Most attempts of a call. */
export const MAX_ATTEMPTS = 3
/** ms. Base of the exponential backoff: 2^attempt times this. */
export const BACKOFF_BASE_MS = 500
/**
 * ratio. Of a lane's target latency, where it names one: how long its calls wait for a leader or a connection. After
 * that they are rejected at once, with nothing run, and told when to come back.
 */
export const QUEUE_TIMEOUT_SHARE = 0.2
/**
 * ratio. Of a statement's time: how long it waits for a leader that is being promoted. Below half, so that a statement
 * that is rejected after all can still be retried.
 */
export const PROMOTION_WAIT_SHARE = 0.45
/**
 * ratio. Of the lane's target latency: how long a read's attempt waits for its answer while another attempt may follow.
 * Well above the work of one statement.
 */
export const ATTEMPT_TIMEOUT_SHARE = 0.5
/**
 * ratio. Of the lane's target latency: how long a statement in a transaction waits; a timeout ends the transaction.
 * Well above the work of one statement.
 */
export const STATEMENT_TIMEOUT_SHARE = 1.5
/** ratio. Of the lane's target latency: base of the backoff between attempts where that is below BACKOFF_BASE_MS. */
export const BACKOFF_SHARE = 0.1
/** ms. Period over which calls that waited for a promotion resume, so that the new leader is not overloaded at once. */
export const WAKE_UP_JITTER_MS = 250
/** tokens. Retry tokens per group and proxy: the initial number and the maximum. */
export const RETRY_TOKENS = 20
/** tokens. Gained with each first attempt: in the long run, retries are at most a fifth of first attempts. */
export const RETRY_TOKENS_PER_ATTEMPT = 0.2
/** ms. Window over which the circuit breaker counts: it reacts to a sustained rate, not to a single burst. */
export const BREAKER_WINDOW_MS = 5000
/** count. Fewest results in a window from which the circuit breaker may open. */
export const BREAKER_MIN_RESULTS = 20
/** ratio. Share of failures in a window that opens the circuit breaker. */
export const BREAKER_FAILURE_RATE = 0.5
/** ms. Pause before half-open probes; jitter of up to half of it is added. */
export const BREAKER_OPEN_MS = 2000
/** count. Consecutive successful probes that close the circuit breaker. */
export const BREAKER_PROBES = 3
/** ratio. Exhausted budgets over retried calls that raise the alert; from the paper. */
export const EXHAUSTION_ALERT_RATE = 0.05
/** count. Fewest retried calls in a window before the alert may be raised. */
export const EXHAUSTION_MIN_RESULTS = 20
/** ms. Window of that alert. */
export const EXHAUSTION_WINDOW_MS = 30000

// --- sessions ---
/** ms. Interval at which a proxy logs the clients that it rejected for their keys, by reason. */
export const KEY_REFUSAL_LOG_INTERVAL_MS = 10000
/** count. Rejected or removed keys whose hashes a proxy keeps, to tell why a client is rejected. */
export const MAX_REMEMBERED_KEYS = 1000
/** count. Most open sessions of a proxy. */
export const MAX_SESSIONS = 4000
/** ms. A session unused for this long is closed (sessions stay open and idle for hours). */
export const SESSION_IDLE_TIMEOUT_MS = 8 * 3600 * 1000
/** ms. Interval at which open transactions are checked for whether they have to end. */
export const SESSION_SWEEP_INTERVAL_MS = 250
/** ms. An open transaction whose requester sends nothing for this long is rolled back. */
export const TRANSACTION_IDLE_TIMEOUT_MS = 10000
/** count. Most pending calls per lane; more are rejected at once. */
export const MAX_QUEUED_CALLS = 256
/** ms. How long open transactions may go on when their leader, lane or node is stopped on purpose. */
export const DRAIN_TIMEOUT_MS = 3000
/**
 * ms. A leaving node accepts new connections for this long after it first reported itself not ready: load balancers
 * probe each second and act on the second failure.
 */
export const NOT_READY_NOTICE_MS = 2500
/**
 * ms. A stopping agent waits this long for its proxy if that stops too: DRAIN_TIMEOUT_MS and one attempt, and less than
 * machines are given to stop.
 */
export const SHUTDOWN_TIMEOUT_MS = 5500
/**
 * ms. How long answers in flight may take when a listener closes; at the listener for requesters, a whole attempt is
 * added.
 */
export const CLOSE_TIMEOUT_MS = 1500
/** bytes. Largest HTTP body accepted. */
export const BODY_LIMIT_BYTES = 256 * 1024
/** bytes. Largest operator body (a stream may carry many configurations). */
export const OPERATOR_BODY_LIMIT_BYTES = 4 * 1024 * 1024
/** ms. A request whose body is not complete by then is rejected; bodies are small and links fast. */
export const BODY_TIMEOUT_MS = 10000
/**
 * ms. When a listener closes, a connection that was opened or used within this may have a request on its way, and is
 * waited for.
 */
export const CONNECTION_GRACE_MS = 250
/** count. Most connections of one listener; further ones are closed at once. */
export const MAX_LISTENER_CONNECTIONS = 20000
/** count. Most connections of the listener for operators and announcements: some hundred instances keep one each. */
export const MAX_CONTROL_CONNECTIONS = 1024
/**
 * ms. A connection to that listener without a request for this long is closed; instances send one about every second.
 */
export const CONTROL_IDLE_TIMEOUT_MS = 15000
/**
 * bytes. All bodies that this listener reads or answers at one time: four of the largest, well within a small machine's
 * memory.
 */
export const CONTROL_BODIES_LIMIT_BYTES = 16 * 1024 * 1024
/** bytes. Largest announcement. */
export const ANNOUNCEMENT_LIMIT_BYTES = 4096
/** ms. A reader of the decision stream is checked at least this often, to notice that it disconnected. */
export const DECISION_READER_CHECK_INTERVAL_MS = 2000
/** s. Retry-After for rejections by overload. */
export const RETRY_AFTER_OVERLOAD_S = 1
/** s. Retry-After while a promotion or a lease is awaited. */
export const RETRY_AFTER_PROMOTION_S = 2
/** s. Retry-After while the circuit breaker is open. */
export const RETRY_AFTER_BREAKER_S = 3
/** s. Retry-After for operations beyond their tenant's limit: some of what it used has left the window by then. */
export const RETRY_AFTER_QUOTA_S = 1

// --- policies ---
/**
 * steps of the Lua machine. A policy that matches by a few comparisons takes under 100; 10000 take about a millisecond.
 */
export const MAX_POLICY_STEPS = 10000
/**
 * ratio. Of a proxy's file descriptors: the share for client connections; the rest is for instances, the agent and
 * files.
 */
export const CLIENT_DESCRIPTORS_SHARE = 0.75
/** ms. A client connection that has not begun its session by then is closed. */
export const SESSION_START_TIMEOUT_MS = 10000
/** count. Unanswered requests of one client connection; above it the connection is not read. */
export const MAX_CLIENT_PENDING_REQUESTS = 64
/** bytes. The same limit by size. A single request may be longer. */
export const CLIENT_PENDING_REQUESTS_LIMIT_BYTES = 256 * 1024
/** bytes. Answers that one client connection has not read; above it none of its requests is started. */
export const CLIENT_UNREAD_ANSWERS_LIMIT_BYTES = 1024 * 1024
/**
 * bytes. Unanswered requests and unread answers of all client connections of a process: a third of the memory that it
 * is started with. A connection that would exceed it is closed.
 */
export const ALL_CLIENTS_MEMORY_LIMIT_BYTES = 64 * 1024 * 1024
/** bytes. Settings and prepared statements of one session; above it SET and PREPARE are rejected. */
export const SESSION_STATE_LIMIT_BYTES = 256 * 1024
/** bytes. The same for all sessions of a process. */
export const ALL_SESSION_STATE_LIMIT_BYTES = 32 * 1024 * 1024
/** bytes. Overhead of each value or prepared statement beside its texts. */
export const SESSION_STATE_ENTRY_BYTES = 100
/** bytes. A pooled connection with longer settings in force is not kept idle. */
export const IDLE_CONNECTION_SETTINGS_LIMIT_BYTES = 16 * 1024
/** count. A pooled connection with more prepared statements is reset before its next use. */
export const MAX_CONNECTION_PREPARED_STATEMENTS = 256
/** bytes. Longest policy. */
export const POLICY_LIMIT_BYTES = 16384

// --- failover ---
/** ms. Interval of the failover loop of a group. */
export const FAILOVER_INTERVAL_MS = 400
/**
 * ms. A leader that the duty holder could not reach for this long is suspected where the observations of other nodes
 * are weak evidence (see docs/design/detection.md).
 */
export const SUSPICION_TIMEOUT_MS = 2500
/**
 * ms. The same where several nodes fail against the leader and none succeeds: longer than a process restart or the
 * redial of connections after a reset, as a wrong failover costs about as much again.
 */
export const CONFIRMED_SUSPICION_TIMEOUT_MS = 300
/**
 * ms. For this long after a duty was taken over from a holder that was lost, a leader that nobody hears any more is
 * suspected after CONFIRMED_SUSPICION_TIMEOUT_MS: its last announcement is forgotten at most ANNOUNCEMENT_LIFETIME_MS
 * after it was received, and a check or two follow.
 */
export const TAKEOVER_SUSPICION_WINDOW_MS = 5000
/** ms. Interval at which a proxy checks for calls that are stalled at an instance. */
export const STALL_INTERVAL_MS = 100
/**
 * ms. Calls that wait at an instance for this long without one successful answer count as failing: many times a
 * statement's work.
 */
export const STALL_TIMEOUT_MS = 400
/**
 * ms. A successful answer outweighs a failure only if it came this much later: one path leads between nodes, the other
 * over loopback.
 */
export const OBSERVATION_SKEW_MS = 30
/**
 * ms. A leader that answered this node well while others report failures is not probed again sooner; a probe costs it
 * the work of a statement.
 */
export const LEADER_PROBE_INTERVAL_MS = 1000
/** ms. Interval at which a failover that stops the group checks for acknowledgements: the cores are asked. */
export const PROMOTION_INTERVAL_MS = 40
/**
 * ms. Interval of probes of instances meanwhile: each costs a connection. A change of role is also announced at once.
 */
export const CANDIDATE_PROBE_INTERVAL_MS = 200
/** ms. Delay before the promotion call is repeated for a candidate that rejected it; the delay doubles. */
export const PROMOTION_REFUSED_DELAY_MS = 300
/** ms. Delay before the promotion call is repeated after an unclear outcome. */
export const PROMOTION_UNCLEAR_DELAY_MS = 1000
/** ms. Delay before the promotion call is repeated for a candidate that accepted it. */
export const PROMOTION_DONE_DELAY_MS = 3000
/** ms. An instance that leads beside the leader of the record is told to step down no more often than this. */
export const DEMOTION_INTERVAL_MS = 1000
/**
 * ms. Of two candidates with the same data, one that joined this much later is preferred: where instances are replaced
 * one after the other, the older is the next to be stopped.
 */
export const NEWER_CANDIDATE_MARGIN_MS = 3000
/**
 * ms. Leadership returns to the group's home zones once an instance there has been healthy without a break for this
 * long: longer than a flapping zone takes to show it, as each return stalls writes for a moment.
 */
export const HOME_RETURN_DELAY_MS = 20000
/** ms. How long a planned replacement waits for a follower to catch up; after that it is cancelled. */
export const CATCH_UP_TIMEOUT_MS = 5000
/**
 * ms. Timeout of the duty holder's STATUS call to a leader: shorter than a sample's, as its end decides when the next
 * check is.
 */
export const LEADER_PROBE_TIMEOUT_MS = 500
/**
 * ms. Timeout of a STATUS call to a leader already suspected: it is asked in case it recovered, and must not delay the
 * failover for as long as a healthy leader may take.
 */
export const SUSPECT_PROBE_TIMEOUT_MS = 100
/**
 * ms. How long a failover waits for commits that nodes saw acknowledged to appear at some instance, before it goes on
 * without them and logs that: a restart of a crashed leader takes about this long.
 */
export const MISSING_COMMITS_WAIT_MS = 3000
/**
 * ms. A replica that nobody has heard for this long is no longer waited for in synchronous commits, once another holds
 * all that the leader holds: longer than a restart, or a partition that heals by itself.
 */
export const REPLICA_ABSENCE_MS = 20000
/** ms. Interval at which the duty holder logs the replicas that it waits for. */
export const PROMOTION_WAIT_LOG_INTERVAL_MS = 5000
/** ms. A node that heard the leader within this is evidence against suspicion. */
export const LEADER_EVIDENCE_LIFETIME_MS = 1500
/** ms. Timeout of the POST /promotion call; after it the outcome is unclear and STATUS decides. */
export const PROMOTION_TIMEOUT_MS = 3000
/** ms. How long one candidate is tried before another is recorded. */
export const CANDIDATE_TIMEOUT_MS = 4000

// --- moves of lanes between groups ---
/** ms. Writes may stop once the target holds what the source had this long ago. */
export const MOVE_CUTOVER_LAG_MS = 1000
/**
 * ms. Longest pause of writes of a lane that is moved; after it the move is cancelled. With the drain before it, a
 * waiting call is still served within its budget.
 */
export const MOVE_PAUSE_LIMIT_MS = 8000

// --- tenant quotas (docs/design/quotas.md) ---
/** ms. A tenant's operations are counted within every period of this length. */
export const QUOTA_WINDOW_MS = 5000
/**
 * ms. Period in which a proxy counts what it sends: QUOTA_WINDOW_MS, 4 % for clock drift, and the way to an instance.
 */
export const QUOTA_METER_WINDOW_MS = 5250
/** ms. Operations sent this close to each other may be counted together, at the time of the last. */
export const QUOTA_METER_RESOLUTION_MS = 10
/** ms. Interval at which a proxy reports its tenants' allowances, use and demand, while there is anything to report. */
export const QUOTA_REPORT_INTERVAL_MS = 500
/** ms. The same for a proxy without allowances: a new quota holder waits until it has received that report. */
export const QUOTA_IDLE_REPORT_INTERVAL_MS = 1000
/** ms. Least time from an answer to a proxy's next quota request, to batch what arrives together. */
export const QUOTA_REQUEST_MIN_INTERVAL_MS = 2
/** ms. Delay of a quota request that is not urgent: most of an allowance is used, or part of one can be returned. */
export const QUOTA_REQUEST_DELAY_MS = 50
/**
 * ratio. Of a statement's time: the longest wait for an allowance, limited by its route's target latency too. An answer
 * that grants nothing ends the wait at once, so that only statements wait whose answer is on its way.
 */
export const QUOTA_WAIT_SHARE = 0.45
/** ms. A quota request without an answer by then is given up: longer than an agent waits for a quota holder. */
export const QUOTA_REQUEST_TIMEOUT_MS = 500
/** ms. Delay of the next quota request after one that nobody answered. */
export const QUOTA_REQUEST_RETRY_DELAY_MS = 100
/**
 * ms. Quota of a tenant that got less than it wants is not requested again sooner; operations without an allowance are
 * rejected at once.
 */
export const QUOTA_DENIAL_BACKOFF_MS = 200
/** ms. An allowance that was not used for two windows is returned. */
export const QUOTA_ALLOWANCE_IDLE_TIMEOUT_MS = 10000
/** ratio. Of an allowance: the rest at which more is requested. */
export const QUOTA_LOW_SHARE = 0.25
/**
 * operations. For a smaller allowance more is requested only when it is used up: otherwise each operation would send a
 * request.
 */
export const QUOTA_MIN_LOW_ALLOWANCE = 4
/**
 * operations. Least amount granted beyond a proxy's demand, if there is enough for all, so that operations need not
 * wait for an answer.
 */
export const QUOTA_MIN_EXTRA = 2
/**
 * ratio. Of a proxy's demand: the amount granted beyond it, if there is enough for all, so that operations need not
 * wait for an answer.
 */
export const QUOTA_EXTRA_SHARE = 0.5
/** ratio. Of the quota that nobody demands: what proxies may get as extras. The rest is free for new demand. */
export const QUOTA_SPARE_SHARE = 0.75
/** ratio. The same where that is less than one operation for each proxy. */
export const QUOTA_SCARCE_SPARE_SHARE = 0.25
/**
 * ratio. Of a tenant's limit: what is kept for a new quota holder to grant at once, unless the tenant's demand exceeds
 * the rest.
 */
export const QUOTA_RESERVE_SHARE = 0.25
/** ratio. Of the rest: the demand of a tenant from which the reserve is lent. */
export const QUOTA_RESERVE_LEND_SHARE = 0.85
/** ratio. Of the rest: the demand of a tenant up to which the reserve is kept again. */
export const QUOTA_RESERVE_RETURN_SHARE = 0.7
/** operations. Granted by a quota holder where there is no limit. */
export const QUOTA_UNLIMITED = 1_000_000_000
/** ms. A rejected tenant is logged no more often. */
export const QUOTA_LOG_INTERVAL_MS = 5000
/**
 * count. Partitions of the tenants, each with a quota holder of its own: losing the holder of one leaves the others.
 */
export const QUOTA_SLOTS = 2
/**
 * ms. A quota holder that does not answer a proxy node within this is left out of the answer to the proxy: many round
 * trips between two zones, and part of the time that an operation without an allowance may wait.
 */
export const QUOTA_ANSWER_TIMEOUT_MS = 250
/** ms. A proxy reports a tenant's allowance and demand again after at most this, even if unchanged. */
export const QUOTA_REFRESH_INTERVAL_MS = 1000
/**
 * ms. Interval at which an agent checks whether it has to tell a new quota holder that no proxy runs on this machine.
 */
export const QUOTA_ABSENCE_INTERVAL_MS = 1000

// --- settings ---
/** ms. Interval at which a settings file is checked for changes that came without a signal. */
export const SETTINGS_INTERVAL_MS = 1000
