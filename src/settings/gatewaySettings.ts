/** Settings of the gateway: an entry that connects to backend servers directly, without agents. */
import { z } from 'zod';
import {
  clientLimitSettings,
  hostPortSetting,
  numberSetting,
  platformProcessSettings,
} from './commonSettings.js';

export const gatewaySettingsSchema = z.object({
  ...platformProcessSettings,
  region: z.string('a name').optional().describe('region of the own data centre'),
  regions: z
    .record(z.string(), z.string())
    .default({})
    .describe('region of each data centre; requests with home regions run only where the region is known'),
  callerAddress: hostPortSetting.describe('where callers connect'),
  readyAddress: hostPortSetting.describe('where readiness is asked for'),
  directoryAddress: hostPortSetting.describe('where callers ask which entries to use'),
  controlAddress: hostPortSetting.describe('where other entries connect'),
  seeds: z
    .array(hostPortSetting)
    .default([])
    .describe('control addresses of entries to ask while no other is known, separated by commas'),
  metricsAddress: hostPortSetting.describe('where metrics are read'),
  storeAddress: hostPortSetting.describe('store of the platform'),
  agentPort: numberSetting(1, 65_535, 7_700, 'port').describe('control port of agents'),
  drainMilliseconds: numberSetting(0, 3_600_000, 8_000, 'milliseconds').describe(
    'longest time that a planned stop may take',
  ),
  directorySeconds: numberSetting(1, 3_600, 2, 'seconds').describe(
    'how long callers may keep the list of entries',
  ),
  admission: z
    .enum(['on-time-first', 'arrival-order'])
    .default('arrival-order')
    .describe('which requests get the last slots under shortage: `on-time-first` or `arrival-order`'),
  ...clientLimitSettings,
  retryPercent: numberSetting(0, 1_000, 20, 'percent').describe('retries allowed per 100 requests'),
  retryWindowMilliseconds: numberSetting(100, 3_600_000, 10_000, 'milliseconds').describe(
    'window in which retries are counted',
  ),
  retrySlack: numberSetting(0, 1_000_000, 100, 'retries').describe('retries allowed in any window'),
  firstStart: z
    .boolean()
    .default(false)
    .describe(
      'whether the whole system starts for the first time, so that no earlier process has used any retries',
    ),
  serverHeartbeatMilliseconds: numberSetting(10, 3_600_000, 1_200, 'milliseconds').describe(
    'how often a backend server renews its entry in service discovery',
  ),
  contactMilliseconds: numberSetting(0, 3_600_000, 3_000, 'milliseconds').describe(
    'how long a gateway is exempt from version deadlines after its start, or after it has regained the store',
  ),
  evacuateMilliseconds: z.coerce
    .number('milliseconds')
    .nonnegative('milliseconds')
    .optional()
    .describe(
      'time in which the evacuation of a data centre takes effect; without it, evacuations are not followed',
    ),
});

export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
