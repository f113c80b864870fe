/** Options of a local fleet, and the environment variables of its processes. */

/** Options of a local fleet. */
export interface FleetOptions {
  dataCentres: readonly string[];
  entriesPerDataCentre: number;
  modelBoxesPerDataCentre: number;
  plainBoxesPerDataCentre?: number;
  /** Bandwidth of the origin's link; 0 for unlimited. */
  originBytesPerSecond?: number;
  /** Bandwidth of each box's link in each direction; 0 for unlimited. */
  boxBytesPerSecond?: number;
  /** Additional environment variables of entries and agents. Names are without the prefix `LARKLATCH_`. */
  entrySettings?: Record<string, string>;
  agentSettings?: Record<string, string>;
  /** Options of the engine stand-ins. */
  engine?: Record<string, unknown>;
  /** Names of boxes whose agents corrupt chunks that they send. */
  corruptingBoxes?: readonly string[];
}

export const SHARED_KEY = 'shared-key-for-loopback';

/** Returns the environment variables that entries and agents have in common. */
export function commonSettings(box: string, dataCentre: string, originUrl: string): Record<string, string> {
  return {
    LARKLATCH_BOX: box,
    LARKLATCH_DATA_CENTRE: dataCentre,
    LARKLATCH_SHARED_KEY: SHARED_KEY,
    LARKLATCH_ORIGIN_URL: originUrl,
    LARKLATCH_LOG: process.env['LARKLATCH_LOG'] ?? 'off',
  };
}

/** Adds the prefix `LARKLATCH_` to the names of environment variables. */
export function withPrefix(settings: Record<string, string> = {}): Record<string, string> {
  return Object.fromEntries(Object.entries(settings).map(([name, value]) => [`LARKLATCH_${name}`, value]));
}

/** Returns the numbers from 1 to `count`. */
export function numbersUpTo(count: number): number[] {
  return Array.from({ length: count }, (_unused, index) => index + 1);
}
