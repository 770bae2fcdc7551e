import t, { type Test } from 'tap'
import { planVoters, type VoterView } from '@claynotch/agent/dist/voter-plan.js'
import { MAX_VOTERS } from '@claynotch/base'
import type { CoreMember } from '@claynotch/register'

// Which set of voters follows, by what the holder of the duty sees: docs/design/coreset.md.

function places(ids: string): CoreMember[] {
  const out: CoreMember[] = []
  for (const id of ids) out.push({ id, addr: `${id}:1`, token: id })
  return out
}
function planOf(voters: string, well: string, fresh: string, silences: [string, number][], heard = ''): string {
  const silent = new Map(silences)
  function silence(id: string): number {
    return silent.get(id) ?? 0
  }
  function isHeardByOthers(id: string): boolean {
    return heard.includes(id)
  }
  const view: VoterView = {
    set: { epoch: 1, cores: places(voters) },
    joining: places(fresh),
    silence,
    serving: new Set(well),
    isHeardByOthers,
    mostVoters: MAX_VOTERS,
  }
  const next = planVoters(view)
  let out = ''
  for (const place of next ?? []) out += place.id
  return out
}
function plans(c: Test): void {
  c.equal(planOf('abc', 'abc', '', []), '', 'nothing to do')
  c.equal(planOf('abc', 'abc', 'de', []), 'abcde', 'all join at once')
  c.equal(planOf('abc', 'abc', 'defghi', []), 'abcde', 'no more than three are a quorum of')
  c.equal(planOf('abcde', 'abcde', 'fghi', []), 'abcdefghi')
  c.equal(planOf('abcde', 'bcde', 'f', [['a', 1000]]), 'abcdef', 'one heartbeat missed')
  c.equal(planOf('abcde', 'bcde', 'f', [['a', 2000]]), '', 'in doubt')
  c.equal(planOf('abcde', 'bcde', 'f', [['a', 3000]]), 'fbcde', 'silent')
  c.equal(planOf('abcde', 'bcde', 'f', [['a', 3000]], 'a'), '', 'silent to us alone')
  c.equal(planOf('abcde', 'abcde', 'f', [['a', 3000]]), '', 'it answers after all, and is in doubt')
  c.equal(
    planOf('abcde', 'cde', 'fg', [
      ['a', 3000],
      ['b', 4000],
    ]),
    'gfcde',
    'two at once',
  )
  c.equal(
    planOf('abcde', 'cde', 'f', [
      ['a', 3000],
      ['b', 4000],
    ]),
    'afcde',
    'the longest silent first',
  )
  c.equal(
    planOf('abc', 'bc', 'de', [['a', 9000]]),
    'dbc',
    'one in its place; a fourth would need a newcomer for the quorum',
  )
  c.equal(
    planOf('abc', 'c', 'de', [
      ['a', 9000],
      ['b', 9000],
    ]),
    '',
    'no quorum',
  )
  c.equal(planOf('abcde', 'bcde', '', [['a', 9000]]), '', 'five with one lost stay five')
  c.equal(planOf('abcdef', 'bcdef', '', [['a', 9000]]), 'bcdef', 'six with one lost are five')
  c.equal(planOf('abcdef', 'bcdef', '', [['a', 4000]]), '', 'not before it had time to start anew')
  c.equal(planOf('abcd', 'bcd', '', [['a', 9000]]), 'bcd')
  c.equal(planOf('ab', 'b', '', [['a', 9000]]), '', 'never below three')
  c.equal(planOf('abcdefghi', 'bcdefghi', 'j', [['a', 5000]]), '', 'a full set waits for longer')
  c.equal(planOf('abcdefghi', 'bcdefghi', 'j', [['a', 9000]]), 'jbcdefghi')
  c.end()
}

void t.test('the plan', plans)
