/** The settings files of the processes of a soak. */
import type { CrowdLimits } from './fleetOptions.js';
import { BOUNDS, REGIONS } from './soakBounds.js';
import { PORTS } from './soakPorts.js';

/** What each process has of its own. */
export interface ProcessNode {
  name: string;
  ip: string;
  zone: string;
  /** Time from SIGTERM until the process has to be gone. Defaults to that of all soaks. */
  graceSeconds: number | undefined;
}

const ENTRY_LINK_MEGABITS = 1_000;

/** Returns the settings of the agent of a box. `storeAddress` is host:port. */
export function agentSettings(
  node: ProcessNode,
  linkMegabits: number,
  service: string,
  storeAddress: string,
): unknown {
  return {
    ...commonSettings(node),
    limits: { link_mbps: linkMegabits },
    app: `${node.ip}:${PORTS.runner}`,
    service,
    platform: { address: storeAddress },
  };
}

/** Returns the settings of an entry. `seeds` are the addresses of other entries, without their ports. */
export function entrySettings(
  node: ProcessNode,
  storeAddress: string,
  seeds: readonly string[],
  limits: CrowdLimits | undefined,
): unknown {
  return {
    ...commonSettings(node),
    limits: {
      link_mbps: ENTRY_LINK_MEGABITS,
      ...(limits && { memory_mb: limits.memoryMegabytes, max_fds: limits.descriptors }),
    },
    region: REGIONS[node.zone],
    zones: REGIONS,
    platform: { address: storeAddress },
    listen: {
      front: `${node.ip}:${PORTS.front}`,
      ready: `${node.ip}:${PORTS.ready}`,
      directory: `${node.ip}:${PORTS.directory}`,
      control: `${node.ip}:${PORTS.control}`,
    },
    seeds: seeds.map((seed) => `${seed}:${PORTS.control}`),
  };
}

function commonSettings({ name, ip, zone, graceSeconds }: ProcessNode): Record<string, unknown> {
  return {
    node_name: name,
    ip,
    zone,
    port_range: [PORTS.rangeStart, PORTS.rangeStart + 15],
    bounds: { ...BOUNDS, grace_s: graceSeconds ?? BOUNDS.grace_s },
  };
}
