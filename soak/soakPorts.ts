/** Ports of the processes of a soak, which are the same on every loopback address. */
export const PORTS = {
  front: 28_005,
  ready: 28_002,
  directory: 28_009,
  control: 28_010,
  runner: 28_001,
  /** Entries reach the runner through a proxy on this port. */
  proxied: 28_011,
  /** First port of `port_range` in the settings of each process. */
  rangeStart: 28_700,
} as const;
