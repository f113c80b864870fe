/** Measures how long requests may lie on their way to servers of older versions, while that decides whether they are sent. */
import type { EventLog } from '../telemetry/eventLog.js';
import { boxOfHost } from './agentAnnouncements.js';
import type { BoxLinks } from './boxLinks.js';
import type { ServerPool } from './serverPool.js';
import { SLOW_LINK_MILLISECONDS } from './trackedServer.js';
import type { VersionGate } from './versionGate.js';

/** What the prober works with. */
export interface LinkProberOptions {
  pool: Pick<ServerPool, 'all'>;
  gate: Pick<VersionGate, 'newest'>;
  links: Pick<BoxLinks, 'probe' | 'delayMilliseconds'>;
  log: EventLog;
}

/** Several times within the half second after which a link counts as one on which requests lie. */
const INTERVAL_MILLISECONDS = 200;

export class LinkProber {
  private readonly _options: LinkProberOptions;
  /** Boxes whose links have been logged as slow. */
  private readonly _slow = new Set<string>();
  private _timer: NodeJS.Timeout | undefined;

  constructor(options: LinkProberOptions) {
    this._options = options;
  }

  start(): void {
    this._timer = setInterval(() => this.probe(), INTERVAL_MILLISECONDS);
    this._timer.unref();
  }

  stop(): void {
    clearInterval(this._timer);
  }

  /** Notes what the last probes have shown, and sends the next ones. */
  probe(): void {
    const boxes = this.boxes();
    for (const box of this._slow) if (!boxes.has(box)) this._slow.delete(box);
    for (const box of boxes) this._noteDelay(box);
    this._options.links.probe(boxes);
  }

  /** Boxes whose servers hold an older version than the newest: at all other times probes would only cost. */
  boxes(): Set<string> {
    const { pool, gate } = this._options;
    const outdated = pool
      .all()
      .filter((server) => server.record.models.some(({ name }) => server.version(name) < gate.newest(name)));
    return new Set(outdated.map(({ host }) => boxOfHost(host)));
  }

  private _noteDelay(box: string): void {
    const { links, log } = this._options;
    const delayMilliseconds = Math.round(links.delayMilliseconds(box));
    const isSlow = delayMilliseconds > SLOW_LINK_MILLISECONDS;
    if (isSlow === this._slow.has(box)) return;
    if (isSlow) this._slow.add(box);
    else this._slow.delete(box);
    log.state(isSlow ? 'link.slow' : 'link.well', { agent: box, delayMilliseconds });
  }
}
