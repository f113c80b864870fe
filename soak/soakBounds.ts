/** Data centres of a soak, their regions, and the bounds in the settings of its processes. */
import type { CrowdLimits } from './fleetOptions.js';

export const ZONES = ['north', 'south', 'west'];

/** Region of each data centre. */
export const REGIONS: Readonly<Record<string, string>> = {
  north: 'r-north',
  south: 'r-south',
  west: 'r-west',
};

/** The section `bounds` of each process's settings. */
export const BOUNDS = {
  contact_ms: 3000,
  grace_s: 3,
  retry_ratio: 0.2,
  retry_window_s: 10,
  retry_slack: 100,
  version_ms: 8000,
  drain_ms: 2000,
  ttl_max_s: 2,
  evacuate_ms: 2000,
};

/** Limits of entries in soaks with crowds of clients. */
export const CROWD_LIMITS: CrowdLimits = { memoryMegabytes: 250, descriptors: 512, bodyBytes: 4_000_000 };
