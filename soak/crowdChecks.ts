/** Checks that entries stay within the limits of their settings, and that crowds do not keep them from their callers. */
import { readFileSync, readdirSync } from 'node:fs';
import type { Period } from './appliedConfigurations.js';
import type { Call } from './callerLog.js';
import type { CrowdShape } from './crowdShapes.js';
import type { CrowdLimits } from './fleetOptions.js';
import type { BreachListener } from './promiseNames.js';

/** Most that an entry has used at any time, over all its starts. */
export interface EntryPeak {
  memoryMegabytes: number;
  descriptors: number;
}

/** A process of which the peaks are watched. */
export interface WatchedProcess {
  name: string;
  /** Undefined while it is not running. */
  processId: number | undefined;
}

/** What the checks need to know about the rest of the soak. */
export interface CrowdContext {
  calls: readonly Call[];
  overlapsFault: (from: number, until: number) => boolean;
}

interface Crowd extends Period {
  shape: CrowdShape;
  /** The address of the entry for callers, host:port. */
  entry: string;
}

const SAMPLE_MILLISECONDS = 50;
const BYTES_PER_KILOBYTE = 1_024;
const BYTES_PER_MEGABYTE = 1_000_000;

export class CrowdChecks {
  private readonly _limits: CrowdLimits | undefined;
  private readonly _crowds: Crowd[] = [];
  private readonly _peaks = new Map<string, EntryPeak>();
  private _timer: NodeJS.Timeout | undefined;

  /** Without limits nothing is watched. */
  constructor(limits: CrowdLimits | undefined) {
    this._limits = limits;
  }

  /** Peaks by the name of the entry. */
  get peaks(): Readonly<Record<string, EntryPeak>> {
    return Object.fromEntries(this._peaks);
  }

  get hadAny(): boolean {
    return this._crowds.length > 0;
  }

  /** Number of crowds by their shape. */
  get counts(): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {};
    for (const { shape } of this._crowds) counts[shape] = (counts[shape] ?? 0) + 1;
    return counts;
  }

  /** Watches these processes until {@link CrowdChecks.unwatch}. */
  watch(processes: readonly WatchedProcess[]): void {
    this._timer = setInterval(() => this.sample(processes), SAMPLE_MILLISECONDS);
  }

  unwatch(): void {
    clearInterval(this._timer);
  }

  /** A crowd comes to an entry; the returned function ends it. */
  onCrowd(shape: CrowdShape, entry: string): () => void {
    const crowd = { shape, entry, from: Date.now(), until: Number.POSITIVE_INFINITY };
    this._crowds.push(crowd);
    return () => (crowd.until = Date.now());
  }

  /** Reads what the processes use now. */
  sample(processes: readonly WatchedProcess[]): void {
    if (!this._limits) return;
    for (const { name, processId } of processes) {
      const used = processId === undefined ? undefined : readUsage(processId);
      const before = this._peaks.get(name) ?? { memoryMegabytes: 0, descriptors: 0 };
      if (!used) continue;
      this._peaks.set(name, {
        memoryMegabytes: Math.max(before.memoryMegabytes, used.memoryMegabytes),
        descriptors: Math.max(before.descriptors, used.descriptors),
      });
    }
  }

  check({ calls, overlapsFault }: CrowdContext, onBreach: BreachListener): void {
    for (const [name, peak] of this._peaks) {
      if (!this._limits) continue;
      const { memoryMegabytes, descriptors } = this._limits;
      if (peak.memoryMegabytes > memoryMegabytes)
        onBreach('limits', `${name} took ${Math.round(peak.memoryMegabytes)} of ${memoryMegabytes} MB`);
      if (peak.descriptors > descriptors)
        onBreach('limits', `${name} had ${peak.descriptors} of ${descriptors} descriptors`);
    }
    for (const { shape, entry, from, until } of this._crowds) {
      const isServed = calls.some(
        ({ outcome, sentAt }) => outcome === 'whole' && sentAt >= from && sentAt <= until,
      );
      if (!isServed && !overlapsFault(from, until))
        onBreach('crowded', `no caller got an answer beside the crowd ${shape} at ${entry}`);
    }
  }
}

/** Returns undefined if the process has exited. */
function readUsage(processId: number): EntryPeak | undefined {
  try {
    const status = readFileSync(`/proc/${processId}/status`, 'utf8');
    const kilobytes = Number(/^VmHWM:\s*(\d+) kB$/m.exec(status)?.[1] ?? 0);
    const descriptors = readdirSync(`/proc/${processId}/fd`).length;
    return { memoryMegabytes: (kilobytes * BYTES_PER_KILOBYTE) / BYTES_PER_MEGABYTE, descriptors };
  } catch {
    return undefined;
  }
}
