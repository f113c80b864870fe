/** Settings of the staging agent: an agent that only loads versions into its backend server. */
import { z } from 'zod';
import {
  clientLimitSettings,
  hostPortSetting,
  numberSetting,
  platformProcessSettings,
} from './commonSettings.js';

const MEGABYTE = 1024 * 1024;

export const stagingSettingsSchema = z.object({
  ...platformProcessSettings,
  ...clientLimitSettings,
  address: z.ipv4('an IPv4 address').describe('address to listen on and be reached at'),
  storeAddress: hostPortSetting.describe('store of the platform'),
  backendAddress: hostPortSetting.describe('backend server on this box'),
  controlPort: numberSetting(0, 65_535, 7_700, 'port').describe('port for control connections'),
  chunkPort: numberSetting(0, 65_535, 7_701, 'port').describe('port for chunks'),
  metricsPort: numberSetting(0, 65_535, 7_702, 'port').describe('port for metrics'),
  linkKilobits: numberSetting(1, 1_000_000_000, 1_000_000, 'kilobits a second').describe(
    "rate of this box's link",
  ),
  weightSendShare: numberSetting(1, 100, 88, 'percent').describe(
    'part of the outgoing link that weights may take; the rest is for answers',
  ),
  weightReceiveShare: numberSetting(1, 100, 95, 'percent').describe(
    'part of the incoming link that weights may take; the rest is for requests, which are small',
  ),
  stagingMemoryBytes: numberSetting(MEGABYTE, 1024 ** 4, 24 * MEGABYTE, 'bytes').describe(
    'memory for staged chunks',
  ),
});

export type StagingSettings = z.infer<typeof stagingSettingsSchema>;
