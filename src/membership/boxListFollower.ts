import { EventEmitter } from 'node:events';
import type { Box, BoxList } from '../external/boxList.js';
import type { Logger } from '../telemetry/logger.js';
import { errorText } from '../utils/stepError.js';
import { pause } from '../utils/timers.js';

interface BoxListEvents {
  change: [];
}

/** Polls the box list and keeps the last answer. If the list is unreachable, the last answer stays in use. */
export class BoxListFollower extends EventEmitter<BoxListEvents> {
  private readonly _list: BoxList;
  private readonly _intervalMilliseconds: number;
  private readonly _logger: Logger;
  private readonly _stopped = new AbortController();
  private _boxes = new Map<string, Box>();
  private _revision = -1;
  private _reachable = true;

  constructor(list: BoxList, intervalMilliseconds: number, logger: Logger) {
    super();
    this._list = list;
    this._intervalMilliseconds = intervalMilliseconds;
    this._logger = logger;
  }

  /** Whether the list has ever been read. */
  get synchronised(): boolean {
    return this._revision >= 0;
  }

  get(box: string): Box | undefined {
    return this._boxes.get(box);
  }

  /** Returns all boxes with a role, including those that are leaving. */
  withRole(role: Box['role']): Box[] {
    return [...this._boxes.values()].filter((box) => box.role === role);
  }

  async run(): Promise<void> {
    while (!this._stopped.signal.aborted) {
      await this.refresh();
      await pause(this._intervalMilliseconds, this._stopped.signal);
    }
  }

  stop(): void {
    this._stopped.abort();
  }

  /** Reads the list once. */
  async refresh(): Promise<void> {
    try {
      const { revision, boxes } = await this._list.list();
      this._setReachable(true, '');
      if (revision === this._revision) return;
      this._revision = revision;
      this._boxes = new Map(boxes.map((box) => [box.box, box]));
      this.emit('change');
    } catch (error) {
      this._setReachable(false, errorText(error));
    }
  }

  private _setReachable(reachable: boolean, reason: string): void {
    if (reachable === this._reachable) return;
    this._reachable = reachable;
    this._logger.state(reachable ? 'boxList.reachable' : 'boxList.unreachable', { reason });
  }
}
