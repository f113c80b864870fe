/** Settings of `larklatch entry`. */
import { z } from 'zod';
import { commonSettings, numberSetting, urlSetting } from './commonSettings.js';

export const entrySettingsSchema = z.object({
  ...commonSettings,
  objectApiUrl: urlSetting.describe('object API of the platform'),
  boxListUrl: urlSetting.describe('box list of the platform'),
  originUrl: urlSetting.describe('origin of weights'),
  operatorKey: z
    .string('at least 16 characters')
    .min(16, 'at least 16 characters')
    .describe('bearer key of operators; best given as a variable'),
  leaseMilliseconds: numberSetting(500, 600_000, 6_000, 'milliseconds').describe(
    'lifetime of a coordinator lease',
  ),
  boxListMilliseconds: numberSetting(50, 600_000, 1_000, 'milliseconds').describe(
    'time between two readings of the box list',
  ),
  entriesKeepSeconds: numberSetting(1, 3_600, 10, 'seconds').describe(
    'how long callers may keep the list of entries',
  ),
  agentsPerEntry: numberSetting(1, 100_000, 64, 'agents').describe(
    'agents that an entry keeps connected for routing',
  ),
  requestTimeoutMilliseconds: numberSetting(100, 3_600_000, 60_000, 'milliseconds').describe(
    'longest time for the first byte of an answer',
  ),
  callerStallMilliseconds: numberSetting(100, 3_600_000, 60_000, 'milliseconds').describe(
    'time after which a caller that takes nothing of its answer is cut off',
  ),
  isolatedMilliseconds: numberSetting(500, 600_000, 10_000, 'milliseconds').describe(
    'time without the object API and other data centres after which an entry counts as isolated',
  ),
});

export type EntrySettings = z.infer<typeof entrySettingsSchema>;
