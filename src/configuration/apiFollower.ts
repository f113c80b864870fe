/** Keeps the replica up to date with the object API: lists all objects once, then watches for changes. */
import type { ObjectApi } from '../external/objectApi.js';
import type { Logger } from '../telemetry/logger.js';
import { Backoff } from '../utils/backoff.js';
import type { Clock } from '../utils/clock.js';
import type { Random } from '../utils/random.js';
import { errorText } from '../utils/stepError.js';
import { pause } from '../utils/timers.js';
import type { Replica } from './replica.js';

const RETRY_BACKOFF = { firstMilliseconds: 200, longestMilliseconds: 5_000 };
/** Interval at which an entry that does not watch checks whether it should. */
const WATCH_CHECK_INTERVAL_MILLISECONDS = 500;

/** Watches only while `shouldWatch` returns true; the other entries receive changes from the entries that watch. */
export class ApiFollower {
  private readonly _api: ObjectApi;
  private readonly _replica: Replica;
  private readonly _clock: Clock;
  private readonly _logger: Logger;
  private readonly _backoff: Backoff;
  private readonly _shouldWatch: () => boolean;
  private readonly _stopped = new AbortController();
  /** The revision up to which all changes have been read; undefined until the first listing succeeds. */
  private _seenRevision: number | undefined;
  private _lastAnswerAt = Number.NEGATIVE_INFINITY;
  private _reachable = false;

  constructor(
    api: ObjectApi,
    replica: Replica,
    clock: Clock,
    random: Random,
    logger: Logger,
    shouldWatch: () => boolean,
  ) {
    this._api = api;
    this._replica = replica;
    this._clock = clock;
    this._logger = logger;
    this._backoff = new Backoff(RETRY_BACKOFF, random);
    this._shouldWatch = shouldWatch;
  }

  /** Whether a complete listing has been read and no changes were missed since. */
  get synchronised(): boolean {
    return this._seenRevision !== undefined;
  }

  /** Milliseconds since the object API last answered; infinite before the first answer. */
  get millisecondsSinceAnswer(): number {
    return this._clock.now() - this._lastAnswerAt;
  }

  /** Runs until `stop` is called. */
  async run(): Promise<void> {
    while (!this._stopped.signal.aborted) {
      if (this._seenRevision !== undefined && !this._shouldWatch())
        await pause(WATCH_CHECK_INTERVAL_MILLISECONDS, this._stopped.signal);
      else await this._step();
    }
  }

  stop(): void {
    this._stopped.abort();
  }

  private async _step(): Promise<void> {
    try {
      if (this._seenRevision === undefined) await this._list();
      else await this._watch(this._seenRevision);
      this._onAnswer();
    } catch (error) {
      if (this._stopped.signal.aborted) return;
      this._onFailure(errorText(error));
      await pause(this._backoff.nextWait(), this._stopped.signal);
    }
  }

  private async _list(): Promise<void> {
    const { revision, objects } = await this._api.list();
    const records = objects.map((object) => ({ ...object, deleted: false }));
    this._replica.applyListing(revision, records, 'api');
    this._seenRevision = revision;
  }

  private async _watch(after: number): Promise<void> {
    const { revision, changes, truncated } = await this._api.watch(after, this._stopped.signal);
    if (truncated) {
      this._seenRevision = undefined;
      return;
    }
    for (const change of changes) this._replica.apply(change, 'api');
    this._seenRevision = revision;
  }

  private _onAnswer(): void {
    this._lastAnswerAt = this._clock.now();
    this._backoff.reset();
    if (!this._reachable) this._logger.state('objectApi.reachable');
    this._reachable = true;
  }

  private _onFailure(reason: string): void {
    if (this._reachable) this._logger.state('objectApi.unreachable', { reason });
    this._reachable = false;
  }
}
