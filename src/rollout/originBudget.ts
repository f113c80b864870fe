/** The hard limit on what a rollout may draw from the origin, over all boxes and coordinators. Pure. */

/** What an agent incarnation has really drawn and may still draw. */
export interface OriginUsage {
  /** `box/incarnation`. */
  agent: string;
  originBytes: number;
  openBytes: number;
}

/**
 * Every grant allows one attempt at one chunk and is written to the rollout object before it is sent. A coordinator
 * that takes over counts for each drawer what it reports, and all that it was ever granted when it does not answer.
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

  /** Bytes that may have been drawn, at most. */
  get spentBytes(): number {
    return [...this._spent.values()].reduce((sum, bytes) => sum + bytes, 0);
  }

  /** Takes a drawer's own account, which is never more than it was granted. */
  recordUsage(drawn: OriginUsage): void {
    const granted = this._granted.get(drawn.agent);
    if (granted === undefined) return;
    this._spent.set(drawn.agent, Math.min(granted, drawn.originBytes + drawn.openBytes));
  }

  /** Books grants if they fit; returns the table to write, or undefined when the limit would be passed. */
  reserve(grants: ReadonlyMap<string, number>): Record<string, number> | undefined {
    const wanted = [...grants.values()].reduce((sum, bytes) => sum + bytes, 0);
    if (this.spentBytes + wanted > this._limitBytes) return undefined;
    for (const [drawer, bytes] of grants) {
      this._granted.set(drawer, (this._granted.get(drawer) ?? 0) + bytes);
      this._spent.set(drawer, (this._spent.get(drawer) ?? 0) + bytes);
    }
    return Object.fromEntries(this._granted);
  }
}
