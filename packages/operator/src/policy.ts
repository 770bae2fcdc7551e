import { createRequire } from 'node:module'
import type fengari from 'fengari'
import { Err, Ok, MAX_POLICY_STEPS, type Result } from '@claynotch/base'

// Operators' policies: a Lua function match(call) that names the lane of a call which came for no lane of
// its own. It runs in a state without files, processes, loading of code or other ways out, for a bounded
// number of steps; whatever goes wrong, the call goes to the policy's fallback lane.
// call: kind, database (as asked), area, and settings.
// Loaded with the first policy: most processes never meet one, and its half megabyte is half of a start.
let loaded: typeof fengari | undefined
function lib(): typeof fengari {
  return (loaded ??= createRequire(import.meta.url)('fengari') as typeof fengari)
}

export type PolicyCall = { kind: string; database: string; area: string; settings: [string, string][] }
export type Policy = { match: (call: PolicyCall) => Result<string, string> }

// What the base library has and a policy must not: ways to files, to other code, to the collector, and to
// catching the error by which the step limit ends it.
const BANNED = ['dofile', 'loadfile', 'load', 'loadstring', 'require', 'collectgarbage', 'print', 'pcall', 'xpcall']
// These make large strings or run for long inside one step.
const BANNED_STRING = ['rep', 'gsub', 'gmatch', 'match', 'find', 'dump', 'format', 'pack', 'unpack']

type State = ReturnType<(typeof fengari)['lauxlib']['luaL_newstate']>

function text(s: string): Uint8Array {
  return lib().to_luastring(s)
}

function overrun(state: State): void {
  lib().lauxlib.luaL_error(state, text(`policy ran for over ${MAX_POLICY_STEPS} steps`))
}
function limit(state: State): void {
  lib().lua.lua_sethook(state, overrun, lib().lua.LUA_MASKCOUNT, MAX_POLICY_STEPS)
}
function takeError(state: State): string {
  const why = lib().lua.lua_tojsstring(state, -1) ?? 'no reason given'
  lib().lua.lua_settop(state, 0)
  return String(why)
}

function open(source: string): Result<State, string> {
  const state = lib().lauxlib.luaL_newstate()
  lib().lauxlib.luaL_requiref(state, text('_G'), lib().lualib.luaopen_base, 1)
  lib().lauxlib.luaL_requiref(state, text('string'), lib().lualib.luaopen_string, 1)
  lib().lauxlib.luaL_requiref(state, text('math'), lib().lualib.luaopen_math, 1)
  lib().lua.lua_settop(state, 0)
  for (const name of BANNED) {
    lib().lua.lua_pushnil(state)
    lib().lua.lua_setglobal(state, text(name))
  }
  lib().lua.lua_getglobal(state, text('string'))
  for (const name of BANNED_STRING) {
    lib().lua.lua_pushnil(state)
    lib().lua.lua_setfield(state, -2, text(name))
  }
  lib().lua.lua_settop(state, 0)
  const bytes = text(source)
  if (lib().lauxlib.luaL_loadbuffer(state, bytes, bytes.length, text('=policy')) !== lib().lua.LUA_OK)
    return Err(takeError(state))
  limit(state)
  if (lib().lua.lua_pcall(state, 0, 0, 0) !== lib().lua.LUA_OK) return Err(takeError(state))
  lib().lua.lua_getglobal(state, text('match'))
  const is = lib().lua.lua_isfunction(state, -1)
  lib().lua.lua_settop(state, 0)
  return is ? Ok(state) : Err('it defines no function match(call)')
}

export function compilePolicy(source: string): Result<Policy, string> {
  const first = open(source)
  if (first.err) return first
  let state: State | undefined = first.val

  function match(call: PolicyCall): Result<string, string> {
    // A state that failed may be half way through something; the next call gets a fresh one.
    if (!state) {
      const again = open(source)
      if (again.err) return again
      state = again.val
    }
    const s = state
    lib().lua.lua_getglobal(s, text('match'))
    lib().lua.lua_createtable(s, 0, 4)
    for (const [name, value] of [
      ['kind', call.kind],
      ['database', call.database],
      ['area', call.area],
    ]) {
      lib().lua.lua_pushstring(s, text(value))
      lib().lua.lua_setfield(s, -2, text(name))
    }
    lib().lua.lua_createtable(s, 0, call.settings.length)
    for (const [name, value] of call.settings) {
      lib().lua.lua_pushstring(s, text(value))
      lib().lua.lua_setfield(s, -2, text(name))
    }
    lib().lua.lua_setfield(s, -2, text('settings'))
    limit(s)
    if (lib().lua.lua_pcall(s, 1, 1, 0) !== lib().lua.LUA_OK) {
      const why = takeError(s)
      state = undefined
      return Err(why)
    }
    const is = lib().lua.lua_isstring(s, -1)
    const name = is ? lib().lua.lua_tojsstring(s, -1) : ''
    lib().lua.lua_settop(s, 0)
    return is ? Ok(name) : Err('match(call) did not return a name')
  }
  return Ok({ match })
}
