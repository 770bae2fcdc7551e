import { CONFIG_KEY, type ConfigurationBody, type Config } from '@claynotch/operator'
import { groupKey, type GroupRecord } from '@claynotch/register'
import type { RegisterCache } from './register-cache.js'

/** The configuration and the group records as the register cache of this node has them. */
export type KnownConfiguration = {
  body: () => ConfigurationBody | undefined
  config: () => Config | undefined
  /** The names of the configured groups. */
  groups: () => string[]
  recordOf: (group: string) => GroupRecord | undefined
}

export function makeKnownConfiguration(registers: RegisterCache): KnownConfiguration {
  function body(): ConfigurationBody | undefined {
    return registers.value(CONFIG_KEY)?.body as ConfigurationBody | undefined
  }
  function config(): Config | undefined {
    return body()?.config ?? undefined
  }
  function groups(): string[] {
    const names: string[] = []
    for (const { name } of config()?.groups ?? []) names.push(name)
    return names
  }
  function recordOf(group: string): GroupRecord | undefined {
    return registers.value(groupKey(group))?.body as GroupRecord | undefined
  }
  return { body, config, groups, recordOf }
}
