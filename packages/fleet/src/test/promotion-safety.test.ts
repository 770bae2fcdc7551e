import t, { type Test } from 'tap'
import { makeReplicatedGroup } from './replicated-group.js'

// With synchronous commits, the promoted instance holds every commit that was acknowledged: docs/leaders.md.

// Guards against review case 1: a replica that leaves receives and counts until it ends, and was not asked for its position.
async function leavingReplicaHoldsLastCommits(c: Test): Promise<void> {
  const group = makeReplicatedGroup(1, ['i-1', 'i-2', 'i-3'])
  await group.begin()
  for (let k = 0; k < 8; k++) group.commit(['i-2', 'i-3'])
  group.reported.position = 8
  group.instances.get('i-2')!.isLeaving = true
  for (let k = 0; k < 2; k++) group.commit(['i-2'])
  group.crash('i-1')
  await group.wait(3000)
  c.strictSame(group.promotions[0], { name: 'i-2', position: 10, acknowledged: 10 }, 'it is promoted, with all commits')
  c.equal(group.promotions[1]?.name, 'i-3', 'and then replaced as planned, as it leaves')
  c.equal(group.instances.get('i-3')!.position, 10, 'by one that has followed it')
  c.equal(group.record()?.phase, 'steady')
}

// The same on the planned path: a leader that leaves is ahead of its replicas for a moment.
async function leavingLeaderIsAhead(c: Test): Promise<void> {
  const group = makeReplicatedGroup(2, ['i-1', 'i-2', 'i-3'])
  await group.begin()
  for (let k = 0; k < 5; k++) group.commit(['i-2', 'i-3'])
  group.instances.get('i-1')!.isLeaving = true
  await group.wait(4000)
  c.equal(group.promotions.length, 1)
  c.not(group.leader()?.name, 'i-1', 'another leads')
  c.equal(group.promotions[0].position, 5, 'with all commits')
}

void t.test('a leaving replica that holds the last commits is promoted first', leavingReplicaHoldsLastCommits)
void t.test('a leader that leaves is replaced by one that has caught up', leavingLeaderIsAhead)
