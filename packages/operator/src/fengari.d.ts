// fengari has no types; this declares the parts that policy.ts uses. A state is opaque.
declare module 'fengari' {
  type State = { readonly opaque: unique symbol }
  type Debug = { readonly opaque: unique symbol }
  export const lua: {
    LUA_OK: number
    LUA_MASKCOUNT: number
    lua_gettop: (s: State) => number
    lua_settop: (s: State, at: number) => void
    lua_getglobal: (s: State, name: Uint8Array) => number
    lua_setglobal: (s: State, name: Uint8Array) => void
    lua_pushnil: (s: State) => void
    lua_pushstring: (s: State, text: Uint8Array) => void
    lua_createtable: (s: State, a: number, b: number) => void
    lua_setfield: (s: State, at: number, name: Uint8Array) => void
    lua_pcall: (s: State, args: number, rets: number, h: number) => number
    lua_isfunction: (s: State, at: number) => boolean
    lua_isstring: (s: State, at: number) => boolean
    lua_tojsstring: (s: State, at: number) => string
    lua_sethook: (s: State, f: (s: State, d: Debug) => void, mask: number, count: number) => void
  }
  export const lauxlib: {
    luaL_newstate: () => State
    luaL_requiref: (s: State, name: Uint8Array, open: unknown, global: number) => void
    luaL_loadbuffer: (s: State, text: Uint8Array, size: number, name: Uint8Array) => number
    luaL_error: (s: State, text: Uint8Array) => never
  }
  export const lualib: { luaopen_base: unknown; luaopen_string: unknown; luaopen_table: unknown; luaopen_math: unknown }
  export const to_luastring: (text: string) => Uint8Array
}
