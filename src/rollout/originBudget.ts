/** The limit on the bytes that a rollout may fetch from the origin, over all boxes and coordinators. */

/** Bytes that one incarnation of an agent has fetched from the origin, and bytes of its open origin fetches. */
export interface OriginUsage {
  /** The incarnation of the agent, as `box/incarnation`. */
  agent: string;
  originBytes: number;
  openBytes: number;
}

/**
 * A grant allows one attempt to fetch one chunk and is written to the rollout object before it is sent. So a
 * coordinator that takes over knows all grants: it counts the usage that each agent reports, and for an agent that does
 * not answer, all bytes that were ever granted to it.
 */
export class OriginBudget {
  private readonly _limitBytes: number;
  private readonly _granted: Map<string, number>;
  private readonly _spent: Map<string, number>;

  constructor(limitBytes: number, granted: Readonly<Record<string, number>>) {
    this._limitBytes = limitBytes;
    this._granted = new Map(Object.entries(granted));
    this._spent = new Map(this._granted);
  }

  /** Upper bound on the bytes that have been fetched so far. */
  get spentBytes(): number {
    return [...this._spent.values()].reduce((sum, bytes) => sum + bytes, 0);
  }

  /** Replaces the usage of an agent by the reported one, at most what was granted to it. */
  recordUsage(usage: OriginUsage): void {
    const granted = this._granted.get(usage.agent);
    if (granted === undefined) return;
    this._spent.set(usage.agent, Math.min(granted, usage.originBytes + usage.openBytes));
  }

  /**
   * Reserves bytes by agent. Returns the new table of granted bytes; returns undefined and reserves nothing when the
   * limit would be exceeded.
   */
  reserve(grants: ReadonlyMap<string, number>): Record<string, number> | undefined {
    const wanted = [...grants.values()].reduce((sum, bytes) => sum + bytes, 0);
    if (this.spentBytes + wanted > this._limitBytes) return undefined;
    for (const [agent, bytes] of grants) {
      this._granted.set(agent, (this._granted.get(agent) ?? 0) + bytes);
      this._spent.set(agent, (this._spent.get(agent) ?? 0) + bytes);
    }
    return Object.fromEntries(this._granted);
  }
}
