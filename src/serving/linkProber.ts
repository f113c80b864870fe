/**
 * Measures the round trip to boxes with servers of older versions, since a request that is delayed on the way could
 * begin on such a server after the version deadline.
 */
import type { EventLog } from '../telemetry/eventLog.js';
import { boxOfHost } from './agentAnnouncements.js';
import type { BoxLinks } from './boxLinks.js';
import type { ServerPool } from './serverPool.js';
import { SLOW_LINK_MILLISECONDS } from './trackedServer.js';
import type { VersionGate } from './versionGate.js';

export interface LinkProberOptions {
  pool: Pick<ServerPool, 'all'>;
  gate: Pick<VersionGate, 'newest'>;
  links: Pick<BoxLinks, 'probe' | 'delayMilliseconds'>;
  log: EventLog;
}

/** Shorter than {@link SLOW_LINK_MILLISECONDS}, so that a slow link is noticed soon. */
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

  /** Evaluates the results of the last probes and sends the next ones. */
  probe(): void {
    const boxes = this.boxes();
    for (const box of this._slow) if (!boxes.has(box)) this._slow.delete(box);
    for (const box of boxes) this._updateSlowLink(box);
    this._options.links.probe(boxes);
  }

  /** Boxes with a server below the newest version; only these are probed, to avoid needless traffic. */
  boxes(): Set<string> {
    const { pool, gate } = this._options;
    const outdated = pool
      .all()
      .filter((server) => server.record.models.some(({ name }) => server.version(name) < gate.newest(name)));
    return new Set(outdated.map(({ host }) => boxOfHost(host)));
  }

  private _updateSlowLink(box: string): void {
    const { links, log } = this._options;
    const delayMilliseconds = Math.round(links.delayMilliseconds(box));
    const isSlow = delayMilliseconds > SLOW_LINK_MILLISECONDS;
    if (isSlow === this._slow.has(box)) return;
    if (isSlow) this._slow.add(box);
    else this._slow.delete(box);
    log.state(isSlow ? 'link.slow' : 'link.well', { agent: box, delayMilliseconds });
  }
}
