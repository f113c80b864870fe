/** Settings of `larklatch gateway`: an entry that reaches backend servers directly. */
import { z } from 'zod';
import { numberSetting } from './commonSettings.js';

const addressSetting = z.string('host:port').regex(/^[^:\s]+:\d+$/, 'host:port, such as 10.0.0.1:8080');

export const gatewaySettingsSchema = z.object({
  box: z.string('a name').min(1, 'a name').describe('name of this box'),
  hall: z.string('a name').min(1, 'a name').describe('hall in which this box stands'),
  callerAddress: addressSetting.describe('where callers connect'),
  readyAddress: addressSetting.describe('where readiness is asked for'),
  directoryAddress: addressSetting.describe('where callers ask which entries to use'),
  metricsAddress: addressSetting.describe('where metrics are read'),
  storeAddress: addressSetting.describe('store of the platform'),
  agentPort: numberSetting(1, 65_535, 7_700, 'port').describe('control port of agents'),
  sharedKey: z
    .string('at least 16 characters')
    .min(16, 'at least 16 characters')
    .describe('key that all processes of the system share'),
  peerTimeoutMilliseconds: numberSetting(100, 60_000, 1_500, 'milliseconds').describe(
    'silence after which a control connection counts as lost',
  ),
  drainMilliseconds: numberSetting(0, 3_600_000, 8_000, 'milliseconds').describe(
    'longest time that a planned stop may take',
  ),
  directorySeconds: numberSetting(1, 3_600, 2, 'seconds').describe(
    'how long callers may keep the list of entries',
  ),
  retryPercent: numberSetting(0, 1_000, 20, 'percent').describe('retries allowed per 100 requests'),
  retryWindowMilliseconds: numberSetting(100, 3_600_000, 10_000, 'milliseconds').describe(
    'window in which retries are counted',
  ),
  retrySlack: numberSetting(0, 1_000_000, 100, 'retries').describe('retries allowed in any window'),
  versionMilliseconds: numberSetting(100, 3_600_000, 8_000, 'milliseconds').describe(
    'time after which no request begins on an older version',
  ),
  contactMilliseconds: numberSetting(0, 3_600_000, 3_000, 'milliseconds').describe(
    'time in touch with the store after which all bounds hold',
  ),
  seed: numberSetting(0, 2 ** 31 - 1, 1, 'any kind').describe('seed of random choices'),
  log: z
    .enum(['off', 'state', 'decision'], 'off, state or decision')
    .default('decision')
    .describe('which lines are logged'),
});

export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
