/** Settings of the processes of a local fleet. */

/** Size and rates of a fleet. */
export interface FleetOptions {
  dataCentres: readonly string[];
  entriesPerDataCentre: number;
  modelBoxesPerDataCentre: number;
  plainBoxesPerDataCentre?: number;
  /** Rate of the origin's link; 0 for unlimited. */
  originBytesPerSecond?: number;
  /** Rate of each box's link, each way; 0 for unlimited. */
  boxBytesPerSecond?: number;
  /** More settings, by variable name without the prefix. */
  entrySettings?: Record<string, string>;
  agentSettings?: Record<string, string>;
  engine?: Record<string, unknown>;
  /** Boxes whose agent damages chunks that it sends. */
  corruptingBoxes?: readonly string[];
}

const SHARED_KEY = 'shared-key-for-loopback';

/** What entries and agents of a fleet are both given. */
export function commonSettings(box: string, dataCentre: string, originUrl: string): Record<string, string> {
  return {
    LARKLATCH_BOX: box,
    LARKLATCH_DATA_CENTRE: dataCentre,
    LARKLATCH_SHARED_KEY: SHARED_KEY,
    LARKLATCH_ORIGIN_URL: originUrl,
    LARKLATCH_LOG: process.env['LARKLATCH_LOG'] ?? 'off',
  };
}

/** Turns settings into variables of larklatch. */
export function withPrefix(settings: Record<string, string> = {}): Record<string, string> {
  return Object.fromEntries(Object.entries(settings).map(([name, value]) => [`LARKLATCH_${name}`, value]));
}

/** The numbers from 1 to `count`. */
export function numbersUpTo(count: number): number[] {
  return Array.from({ length: count }, (_unused, index) => index + 1);
}
