/** Setting types and the settings that several daemons share. */
import { z } from 'zod';
import { nameSchema } from '../protocol/names.js';

const MAXIMUM_PORT = 65_535;
const MIN_KEY_LENGTH = 16;

/** A TCP port; with 0, the system chooses a free one. */
export const portSetting = z.coerce
  .number('a port from 0 to 65535')
  .int('a port from 0 to 65535')
  .min(0, 'a port from 0 to 65535')
  .max(MAXIMUM_PORT, 'a port from 0 to 65535')
  .default(0);

/** An HTTP base URL without a trailing slash. */
export const urlSetting = z
  .string('an http URL, such as http://10.0.0.1:8080')
  .regex(/^https?:\/\/[^/]+$/, 'an http URL without a path, such as http://10.0.0.1:8080');

/** An address to listen on or to connect to. */
export const hostPortSetting = z
  .string('host:port')
  .regex(/^[^:\s]+:\d+$/, 'host:port, such as 10.0.0.1:8080');

/** An integer within bounds; `unit` appears in the error message. */
export function boundedNumber(minimum: number, maximum: number, unit: string): z.ZodCoercedNumber {
  const allowed = `a whole number of ${unit} from ${minimum} to ${maximum}`;
  return z.coerce.number(allowed).int(allowed).min(minimum, allowed).max(maximum, allowed);
}

/** An integer within bounds that has a default. */
export function numberSetting(
  minimum: number,
  maximum: number,
  defaultValue: number,
  unit: string,
): z.ZodDefault<z.ZodCoercedNumber> {
  return boundedNumber(minimum, maximum, unit).default(defaultValue);
}

/** Settings of every daemon. */
export const processSettings = {
  sharedKey: z
    .string(`at least ${MIN_KEY_LENGTH} characters`)
    .min(MIN_KEY_LENGTH, `at least ${MIN_KEY_LENGTH} characters`)
    .describe('key that all processes of the system share; best given as a variable'),
  peerTimeoutMilliseconds: numberSetting(100, 60_000, 2_000, 'milliseconds').describe(
    'silence after which a control connection counts as lost',
  ),
  seed: numberSetting(0, 2 ** 31 - 1, 1, 'any kind').describe('seed of random choices'),
  log: z
    .enum(['off', 'state', 'decision'], 'off, state or decision')
    .default('state')
    .describe('which lines are logged'),
};

/** What the clients of a process may take together. */
export const clientLimitSettings = {
  clientMegabytes: boundedNumber(1, 1_000_000, 'megabytes')
    .optional()
    .describe(
      'memory that requests and the answers to them may take together; beyond it the largest are refused or closed. ' +
        'Without it a quarter of the machine, at most 1024',
    ),
  clientConnections: boundedNumber(8, 1_000_000, 'connections')
    .optional()
    .describe(
      'connections that clients may keep open; beyond it those idle for longest are closed. Without it half of the ' +
        'open files that the system allows, at most 10000',
    ),
};

/** Settings that `larklatch entry` and `larklatch agent` share. */
export const commonSettings = {
  ...processSettings,
  ...clientLimitSettings,
  box: nameSchema.describe('name of this box, as in the box list'),
  dataCentre: nameSchema.describe('data centre in which this box stands'),
  address: z.ipv4('an IPv4 address').default('127.0.0.1').describe('address to listen on and be reached at'),
  httpPort: portSetting.describe('port for HTTP; 0 lets the system choose'),
  controlPort: portSetting.describe('port for control connections; 0 lets the system choose'),
  drainMilliseconds: numberSetting(0, 3_600_000, 60_000, 'milliseconds').describe(
    'longest time that a planned stop waits for requests in flight',
  ),
};

/** Settings of the daemons on the platform. Names of boxes and data centres there need not match `nameSchema`. */
export const platformProcessSettings = {
  ...processSettings,
  box: z.string('a name').min(1, 'a name').describe('name of this box'),
  dataCentre: z.string('a name').min(1, 'a name').describe('data centre in which this box stands'),
  versionMilliseconds: numberSetting(100, 3_600_000, 8_000, 'milliseconds').describe(
    'time after which no request begins on an older version',
  ),
};
