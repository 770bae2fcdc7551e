import fc from 'fast-check'
import t, { type Test } from 'tap'
import { QUOTA_METER_RESOLUTION_MS } from '@claynotch/base'
import { makeWindowMeter } from '../window-meter.js'

const WINDOW_MS = 1000

function countsWholeWindow(c: Test): void {
  let time = 0
  function now(): number {
    return time
  }
  const meter = makeWindowMeter(now, WINDOW_MS)
  meter.add()
  time = 600
  meter.add()
  meter.add()
  c.equal(meter.count(), 3)
  time = 1000
  c.equal(meter.count(), 3, 'an event still counts at the end of its window')
  time = 1001
  c.equal(meter.count(), 2)
  time = 1601
  c.equal(meter.count(), 0)
  c.end()
}

/**
 * Compares the meter with a list of all times: it never counts fewer events than the list, and never more than the list
 * with a window that is longer by QUOTA_METER_RESOLUTION_MS.
 */
function matchesReferenceList(c: Test): void {
  let steps = 0
  function isWithinBounds(pauses: number[]): boolean {
    let time = 0
    const times: number[] = []
    function now(): number {
      return time
    }
    function within(ms: number): number {
      let count = 0
      for (const eventTime of times) if (time - eventTime <= ms) count++
      return count
    }
    const meter = makeWindowMeter(now, WINDOW_MS)
    for (const pause of pauses) {
      time += pause
      if (meter.count() < within(WINDOW_MS)) return false
      meter.add()
      times.push(time)
      steps++
      const count = meter.count()
      if (count < within(WINDOW_MS) || count > within(WINDOW_MS + QUOTA_METER_RESOLUTION_MS)) return false
    }
    return true
  }
  const pause = fc.oneof(
    fc.constantFrom(0, 1, 3, 9, 10, 11),
    fc.nat({ max: 300 }),
    fc.constantFrom(990, 1000, 1001, 1011),
  )
  const result = fc.check(fc.property(fc.array(pause, { maxLength: 200 }), isWithinBounds), { numRuns: 1000, seed: 5 })
  c.notOk(result.failed, result.failed ? String(fc.defaultReportMessage(result)) : `${steps} events`)
  c.end()
}

void t.test('an event counts for its whole window', countsWholeWindow)
void t.test('the meter counts no less than a list of all times', matchesReferenceList)
