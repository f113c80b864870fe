/** Settings of `larklatch staging`: an agent that only brings versions to its backend server. */
import { z } from 'zod';
import { numberSetting } from './commonSettings.js';

const MEGABYTE = 1024 * 1024;

export const stagingSettingsSchema = z.object({
  box: z.string('a name').min(1, 'a name').describe('name of this box'),
  hall: z.string('a name').min(1, 'a name').describe('hall in which this box stands'),
  address: z.ipv4('an IPv4 address').describe('address to listen on and be reached at'),
  service: z.string('a name').min(1, 'a name').describe('service of the backend server'),
  backendAddress: z.string('host:port').describe('backend server on this box'),
  storeAddress: z.string('host:port').describe('store of the platform'),
  controlPort: numberSetting(0, 65_535, 7_700, 'port').describe('port for control connections'),
  chunkPort: numberSetting(0, 65_535, 7_701, 'port').describe('port for chunks'),
  metricsPort: numberSetting(0, 65_535, 7_702, 'port').describe('port for metrics'),
  sharedKey: z
    .string('at least 16 characters')
    .min(16, 'at least 16 characters')
    .describe('key that all processes of the system share'),
  peerTimeoutMilliseconds: numberSetting(100, 60_000, 1_500, 'milliseconds').describe(
    'silence after which a control connection counts as lost',
  ),
  linkKilobits: numberSetting(1, 1_000_000_000, 1_000_000, 'kilobits a second').describe(
    "rate of this box's link",
  ),
  weightShare: numberSetting(1, 100, 80, 'percent').describe('part of the link that weights may take'),
  versionMilliseconds: numberSetting(100, 3_600_000, 8_000, 'milliseconds').describe(
    'time after which no request begins on an older version',
  ),
  stagingMemoryBytes: numberSetting(MEGABYTE, 1024 ** 4, 24 * MEGABYTE, 'bytes').describe(
    'memory for staged chunks',
  ),
  seed: numberSetting(0, 2 ** 31 - 1, 1, 'any kind').describe('seed of random choices'),
  log: z
    .enum(['off', 'state', 'decision'], 'off, state or decision')
    .default('decision')
    .describe('which lines are logged'),
});

export type StagingSettings = z.infer<typeof stagingSettingsSchema>;
