/** Settings of `larklatch agent`. */
import { z } from 'zod';
import { boundedNumber, commonSettings, numberSetting, urlSetting } from './commonSettings.js';

const MEGABYTE = 1024 * 1024;
const TERABYTE = 1024 ** 4;

export const agentSettingsSchema = z.object({
  ...commonSettings,
  backendUrl: urlSetting.describe('backend server on this box'),
  backendKind: z
    .enum(['model', 'plain'], 'model or plain')
    .default('model')
    .describe('a model engine or a plain service'),
  backendSlots: numberSetting(1, 100_000, 8, 'requests').describe(
    'requests that the backend server runs at once',
  ),
  waitingPerCustomer: numberSetting(0, 100_000, 64, 'requests').describe(
    'requests that may wait, per customer',
  ),
  originUrl: urlSetting.describe('origin of weights'),
  weightStoreUrl: urlSetting.optional().describe('weight store to ask before the origin, if there is one'),
  stagingMemoryBytes: numberSetting(MEGABYTE, TERABYTE, 1024 * MEGABYTE, 'bytes').describe(
    'memory for staged chunks',
  ),
  weightBytesPerSecond: numberSetting(0, TERABYTE, 0, 'bytes a second').describe(
    "weight traffic each way, leaving the rest of the box's link to requests; 0 for no limit",
  ),
  stallMilliseconds: numberSetting(100, 600_000, 3_000, 'milliseconds').describe(
    'silence after which a chunk transfer is given up',
  ),
  keyLifetimeMilliseconds: numberSetting(1_000, 86_400_000, 120_000, 'milliseconds').describe(
    'how long a caller may send an idempotency key again',
  ),
  ledgerKeys: numberSetting(1, 10_000_000, 100_000, 'keys').describe(
    'idempotency keys remembered at the same time',
  ),
  ledgerAnswerBytes: boundedNumber(MEGABYTE, TERABYTE, 'bytes')
    .optional()
    .describe(
      'memory for the answers kept with idempotency keys, part of that for clients; beyond it the oldest answers are ' +
        'dropped, but no key. Without it a quarter of that for clients',
    ),
});

export type AgentSettings = z.infer<typeof agentSettingsSchema>;
