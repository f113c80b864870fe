/**
 * One load of a version into the backend server: checks the staged chunks, orders the server to load them, and then
 * confirms that it took intact ones.
 *
 * Chunks can be corrupted between the check and the moment at which the server takes them, however long that is: the
 * agent or the server may be paused anywhere in between. Since nothing is written to the staging area in the meantime,
 * a chunk that is intact after the server took it was intact then. The box gets no requests until all are found intact;
 * layers with a chunk that is not are released and loaded again.
 */
import type { ConfirmedLoad } from '../protocol/boxMessages.js';
import { errorText } from '../utils/stepError.js';
import { pause } from '../utils/timers.js';
import { holds, isOrderLost, layersOfChunks, layersToKeep, stillDoubtful } from './loadDecisions.js';
import type { LoadOrderOptions, OrderedLayers, OrderedStage, TakenOrder } from './loadOrder.js';
import { LoadOrder } from './loadOrder.js';
import type { LayerRange, LocalBackendStatus } from './localBackend.js';
import { chunkList } from './missingChunks.js';
import { SWITCHING_POLL_MILLISECONDS } from './pollInterval.js';
import { mayOrder } from './switchTurn.js';
import type { VersionStage } from './versionStage.js';

/** Step of a load; the box gets no requests from `switching` on. */
export type LoadStep = 'checking' | 'switching' | 'confirming' | 'reloading' | 'starting';

/**
 * How a load ended: `doubtful` if the server has taken corrupt chunks and can't be ordered to load them again, so that
 * it may not get requests; `abandoned` if it has to begin again.
 */
export type LoadResult = (typeof LOAD_RESULTS)[number];
export const LOAD_RESULTS = ['serving', 'doubtful', 'abandoned'] as const;

/** Options of a {@link VersionLoad}. */
export interface VersionLoadOptions extends Pick<LoadOrderOptions, 'stagingArea' | 'clock' | 'log'> {
  stage: OrderedStage & Pick<VersionStage, 'index'>;
  /** Returns the status of the server, and waits for it while the server does not answer. */
  poll: (signal: AbortSignal) => Promise<LocalBackendStatus>;
  /** Whether the order need not wait until entries have stopped sending requests. */
  isUrgent: () => boolean;
  /** Called when the step has changed. */
  onChange: () => void;
  onConfirmed: (load: ConfirmedLoad) => void;
}

const RETRY_MILLISECONDS = 100;

export class VersionLoad {
  readonly stage: VersionLoadOptions['stage'];
  private readonly _options: VersionLoadOptions;
  private readonly _ended = new AbortController();
  private _step: LoadStep = 'checking';

  constructor(options: VersionLoadOptions) {
    this._options = options;
    this.stage = options.stage;
  }

  get step(): LoadStep {
    return this._step;
  }

  /** Ends the load, since the server has ended or the agent stops. */
  abandon(): void {
    this._ended.abort();
  }

  /** Loads the staged chunks. `before` is the last status of the server, and `since` the earliest valid reading. */
  async run(before: LocalBackendStatus, since: number): Promise<LoadResult> {
    return await this._untilAbandoned(async () => {
      const { clock, log } = this._options;
      const startedAt = clock.now();
      const isWhole = await this.stage.verify(since);
      this._ended.signal.throwIfAborted();
      const verifyMilliseconds = Math.round(clock.now() - startedAt);
      log.state(isWhole ? 'version.checked' : 'version.not-whole', {
        version: this.stage.version,
        verifyMilliseconds,
      });
      if (!isWhole) return 'abandoned';
      this._enter('switching');
      await this._waitForNotice();
      const taken = await this._order(before);
      if (!taken) return 'abandoned';
      return await this._confirm(taken, await this._corruptChunks(taken.takenBy));
    });
  }

  /**
   * Confirms a version that the server took earlier, while the staging area is locked. If `isUnwritten` is false, chunks
   * may have been written since then, so that their present state proves nothing.
   */
  async confirmServed(status: LocalBackendStatus, isUnwritten: boolean): Promise<LoadResult> {
    return await this._untilAbandoned(async () => {
      this._enter('confirming');
      const { startedAt, revision } = status;
      const taken: TakenOrder = { startedAt, revision, takenBy: this._options.clock.now() };
      const corrupt = isUnwritten ? await this._corruptChunks(taken.takenBy) : this._allChunks();
      return await this._confirm(taken, corrupt);
    });
  }

  private async _untilAbandoned(work: () => Promise<LoadResult>): Promise<LoadResult> {
    try {
      return await work();
    } catch (error) {
      if (!this._ended.signal.aborted)
        this._options.log.decision('version.load-failed', { reason: errorText(error) });
      return 'abandoned';
    } finally {
      this._options.stagingArea.unlock();
    }
  }

  /** Waits until entries have stopped sending requests, and those that they sent before have begun. */
  private async _waitForNotice(): Promise<void> {
    const { clock, isUrgent } = this._options;
    const noticedAt = clock.now();
    for (;;) {
      if (isUrgent()) return;
      const { queued } = await this._poll();
      if (mayOrder({ noticeMilliseconds: clock.now() - noticedAt, waiting: queued })) return;
      await this._pause(SWITCHING_POLL_MILLISECONDS);
    }
  }

  private async _order(before: LocalBackendStatus, ordered?: OrderedLayers): Promise<TakenOrder | undefined> {
    const options = {
      ...this._options,
      poll: async () => await this._poll(),
      pause: async () => await this._pause(SWITCHING_POLL_MILLISECONDS),
    };
    return await new LoadOrder(options, before, ordered).run();
  }

  /** Ends the load of an order that the server has taken; `corrupt` chunks were found since. */
  private async _confirm(taken: TakenOrder, corrupt: readonly number[]): Promise<LoadResult> {
    const { stagingArea, onConfirmed, clock, log } = this._options;
    const { version } = this.stage;
    const intact = await this._reload(taken, corrupt);
    if (intact === 'doubtful' || intact === 'abandoned') return intact;
    stagingArea.unlock();
    const { startedAt, revision, takenBy } = intact;
    const confirmMilliseconds = Math.round(clock.now() - takenBy);
    log.state('version.confirmed', { version, revision, confirmMilliseconds });
    this._enter('starting');
    onConfirmed({ startedAt, revision, version });
    return (await this._isStarted()) ? 'serving' : 'abandoned';
  }

  /** Reads all chunks back after the server took them, however often the server does not answer. */
  private async _corruptChunks(takenBy: number): Promise<number[]> {
    this._enter('confirming');
    for (;;) {
      try {
        const corrupt = await this.stage.stager.readOlderThan(takenBy);
        this._ended.signal.throwIfAborted();
        return corrupt;
      } catch (error) {
        this._ended.signal.throwIfAborted();
        this._options.log.decision('version.not-confirmed', { reason: errorText(error) });
        await this._pause(RETRY_MILLISECONDS);
      }
    }
  }

  /**
   * Loads the layers of `corrupt` chunks again, if there are any. The server releases them before the chunks are
   * repaired, so that it is known from the server alone which layers it took from intact chunks. Returns the order after
   * which no layer is doubtful.
   */
  private async _reload(
    taken: TakenOrder,
    corrupt: readonly number[],
  ): Promise<TakenOrder | Exclude<LoadResult, 'serving'>> {
    const { index } = this.stage;
    let last = taken;
    let chunks = corrupt;
    let doubtful: number[] = [];
    let kept: LayerRange = { first: 0, end: 0 };
    for (;;) {
      const found = layersOfChunks(chunks, index.chunkCount, this._layerCount);
      doubtful = stillDoubtful(doubtful, found, kept);
      if (doubtful.length === 0) return last;
      this._logDoubt(last, chunks, doubtful);
      if (this._layerCount < 2) return 'doubtful';
      kept = layersToKeep(doubtful, this._layerCount);
      if (!(await this._release(kept))) return 'doubtful';
      const next = await this._loadReleased();
      if (!next) return 'abandoned';
      last = next;
      chunks = await this._corruptChunks(last.takenBy);
    }
  }

  private get _layerCount(): number {
    return this.stage.index.manifest.layers ?? 1;
  }

  /** Has the server release all layers but `kept`. Returns whether it holds just these. */
  private async _release(kept: LayerRange): Promise<boolean> {
    this._enter('reloading');
    const taken = await this._order(await this._idleStatus(), { layers: kept, isRelease: true });
    return taken !== undefined && holds(await this._idleStatus(), kept);
  }

  /** Repairs the staged chunks and orders the server to load the layers that it has released. */
  private async _loadReleased(): Promise<TakenOrder | undefined> {
    this._options.stagingArea.unlock();
    const status = await this._idleStatus();
    if (!(await this.stage.verify(Number.NEGATIVE_INFINITY))) return undefined;
    return await this._order(status, { layers: { first: 0, end: this._layerCount } });
  }

  private _logDoubt({ revision, takenBy }: TakenOrder, chunks: readonly number[], layers: number[]): void {
    const { log, clock } = this._options;
    log.state('version.doubtful', {
      version: this.stage.version,
      revision,
      chunks: chunkList(chunks),
      layers: chunkList(layers),
      sinceTaken: Math.round(clock.now() - takenBy),
    });
  }

  /** Waits until the server has executed its orders. */
  private async _idleStatus(): Promise<LocalBackendStatus> {
    for (;;) {
      const status = await this._poll();
      if (!status.busy) return status;
      await this._pause(SWITCHING_POLL_MILLISECONDS);
    }
  }

  /** Waits until the server serves the version. Returns false if it does not come to that. */
  private async _isStarted(): Promise<boolean> {
    const { clock } = this._options;
    const confirmedAt = clock.now();
    for (;;) {
      const status = await this._poll();
      const served = status.versions.get(this.stage.model) ?? 0;
      if (!status.busy && served >= this.stage.version) return true;
      if (isOrderLost(clock.now() - confirmedAt, status)) return false;
      await this._pause(SWITCHING_POLL_MILLISECONDS);
    }
  }

  private _allChunks(): number[] {
    return Array.from({ length: this.stage.index.chunkCount }, (_unused, chunk) => chunk);
  }

  private _enter(step: LoadStep): void {
    if (this._step === step) return;
    this._step = step;
    this._options.onChange();
  }

  private async _poll(): Promise<LocalBackendStatus> {
    const status = await this._options.poll(this._ended.signal);
    this._ended.signal.throwIfAborted();
    return status;
  }

  private async _pause(milliseconds: number): Promise<void> {
    await pause(milliseconds, this._ended.signal);
    this._ended.signal.throwIfAborted();
  }
}
