/** Settings of the processes of a local fleet. */

const SHARED_KEY = 'shared-key-for-loopback';

/** What entries and agents of a fleet are both given. */
export function commonSettings(box: string, hall: string, originUrl: string): Record<string, string> {
  return {
    LARKLATCH_BOX: box,
    LARKLATCH_HALL: hall,
    LARKLATCH_SHARED_KEY: SHARED_KEY,
    LARKLATCH_ORIGIN_URL: originUrl,
    LARKLATCH_LOG: process.env['LARKLATCH_LOG'] ?? 'off',
  };
}

/** Turns settings into variables of larklatch. */
export function prefixed(settings: Record<string, string> = {}): Record<string, string> {
  return Object.fromEntries(Object.entries(settings).map(([name, value]) => [`LARKLATCH_${name}`, value]));
}

/** The numbers from 1 to `count`. */
export function numbered(count: number): number[] {
  return Array.from({ length: count }, (_unused, index) => index + 1);
}
