import t, { type Test } from 'tap'
import { formatLine } from '@claynotch/base'

// Log lines of key=value pairs, whatever a value holds.

/** Where any common reader of lines, or a terminal, ends a line or reads a command. */
const CONTROL = /[\u0000-\u001f\u007f-\u009f\u2028\u2029]/

function everyCharacter(test: Test): void {
  const wrong: string[] = []
  for (let code = 0; code <= 0xffff; code++) {
    // Half of a surrogate pair is no character.
    if (code >= 0xd800 && code <= 0xdfff) continue
    const value = `a${String.fromCharCode(code)}b`
    const line = formatLine('info', 'event', { value, next: 1 })
    const [, written] = /^level=info event=event value=(.*) next=1$/.exec(line) ?? []
    if (written === undefined || CONTROL.test(line)) wrong.push(code.toString(16))
    else if (written.startsWith('"') ? JSON.parse(written) !== value : written !== value) wrong.push(code.toString(16))
  }
  test.strictSame(wrong, [])
  test.end()
}
function forgedLine(test: Test): void {
  const value = 'x\ntime=2026-12-06T19:40:09.611Z level=error event=forged'
  test.equal(formatLine('warn', 'event', { value }).split('\n').length, 1)
  test.end()
}

void t.test('a value of any characters stays on its line and can be read back', everyCharacter)
void t.test('a value cannot begin another line', forgedLine)
