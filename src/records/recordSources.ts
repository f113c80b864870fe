/** Carries out from whom this entry takes its copies of the store's records, and whether it reads the store itself. */
import type { ControlOptions } from '../protocol/controlConnection.js';
import type { RecordChanges, RecordStamp } from '../protocol/recordMessages.js';
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import { errorText } from '../utils/stepError.js';
import { FailedSources } from './failedSources.js';
import { LagDetector } from './lagDetector.js';
import type { RecordRelay } from './recordRelay.js';
import type { RecordState } from './recordState.js';
import { freshnessOf } from './recordState.js';
import type { RecordSource, SourceChoice } from './sourceChoice.js';
import { chooseSources } from './sourceChoice.js';
import { SourceLink } from './sourceLink.js';
import { generationOf, startOfGeneration } from './storeRevision.js';
import type { StoreReader } from './storeReader.js';
import { fromWireObject } from './wireObject.js';
import type { WatchableStore } from './watchableStore.js';

/** What the sources work with. */
export interface RecordSourcesOptions {
  own: RecordSource;
  seeds: readonly string[];
  /** Live entries in an order that all of them work out alike. */
  ranking: () => readonly RecordSource[];
  state: RecordState;
  reader: StoreReader;
  store: WatchableStore;
  relay: RecordRelay;
  control: ControlOptions;
  clock: Clock;
  log: EventLog;
}

const TICK_MILLISECONDS = 100;
/** Three stamps and the way. */
const SILENCE_TIMEOUT_MILLISECONDS = 1_000;
/** Two probes of the store, the time-out of one, and a stamp: a reader that is well confirms its copies more often. */
const CONFIRMATION_TIMEOUT_MILLISECONDS = 1_300;
/** Time that a new source, or this process when it begins to read, has to become current. */
const GRACE_MILLISECONDS = 1_000;
/** The choice to read has to last so long, since entries that start learn of each other one after the other. */
const SETTLE_MILLISECONDS = 250;
/** Time after a start in which others may still be starting, so that they are dialled again before they are passed over. */
const STARTUP_MILLISECONDS = 700;

export class RecordSources {
  private readonly _options: RecordSourcesOptions;
  private readonly _links = new Map<string, SourceLink>();
  private readonly _failed: FailedSources;
  private readonly _lagDetector = new LagDetector();
  private _startedAt = 0;
  private _shouldReadSince: number | undefined;
  private _readingSince = 0;
  private _primary = '';
  private readonly _stopped = new AbortController();
  private _timer: NodeJS.Timeout | undefined;

  constructor(options: RecordSourcesOptions) {
    this._options = options;
    this._failed = new FailedSources(options.clock, options.log);
  }

  start(): void {
    this._startedAt = this._options.clock.now();
    this._timer = setInterval(() => this._tick(), TICK_MILLISECONDS);
    void this._loadStaleCopies();
    this._tick();
  }

  stop(): void {
    clearInterval(this._timer);
    this._stopped.abort();
    for (const link of this._links.values()) link.close();
    this._links.clear();
    this._options.reader.stop();
  }

  /**
   * Takes what the store held some seconds ago, so that requests are served and other entries found at once, also where all
   * seeds are gone. The copies are not confirmed by that.
   */
  private async _loadStaleCopies(): Promise<void> {
    const { state, store, log } = this._options;
    await Promise.all(
      state.replicas.map(async (replica) => {
        try {
          const { objects } = await store.listStale(replica.kind, this._stopped.signal);
          replica.applyProvisional(objects);
        } catch (error) {
          if (this._stopped.signal.aborted) return;
          log.state('records.no-stale-copy', { kind: replica.kind, reason: errorText(error) });
        }
      }),
    );
  }

  private _tick(): void {
    this._checkSources();
    const { own, seeds, ranking } = this._options;
    const hasFailed = (address: string): boolean => this._failed.has(address);
    const choice = chooseSources({ own, seeds, ranking: ranking(), hasFailed });
    this._updateLinks(choice.sources);
    this._updateReading(choice);
    this._selectPrimary(choice.sources);
    this._checkLag();
    this._options.state.releaseRetained();
  }

  private _markFailed(address: string, reason: string): void {
    this._failed.add(address, reason);
    this._closeLink(address);
  }

  private _checkSources(): void {
    for (const [address, link] of this._links) {
      if (link.silentFor > SILENCE_TIMEOUT_MILLISECONDS) this._markFailed(address, 'silent');
      else if (link.stamp?.lost) this._markFailed(address, 'has lost the store');
      else if (this._isUnconfirmed(link)) this._markFailed(address, 'does not reach the store');
    }
    this._checkOwnReading();
  }

  /** Tells a loss of the store at once, so that others begin to read before what they rely on is too old. */
  private _checkOwnReading(): void {
    const { reader, own, clock, relay, state } = this._options;
    if (reader.isLost && !this._failed.has(own.address)) {
      this._markFailed(own.address, 'has lost the store');
      state.noteLost();
      relay.sendStamps();
    }
    if (!reader.isReading || clock.now() - this._readingSince < GRACE_MILLISECONDS) return;
    if (clock.now() - reader.confirmedAt > CONFIRMATION_TIMEOUT_MILLISECONDS)
      this._markFailed(own.address, 'own reading');
  }

  private _isUnconfirmed(link: SourceLink): boolean {
    const now = this._options.clock.now();
    if (!link.stamp || now - link.openedAt < GRACE_MILLISECONDS) return false;
    return now - freshnessOf(link.stamp, link.stampedAt).confirmedAt > CONFIRMATION_TIMEOUT_MILLISECONDS;
  }

  private _updateLinks(sources: readonly RecordSource[]): void {
    const wanted = new Set(sources.map(({ address }) => address));
    for (const address of [...this._links.keys()]) if (!wanted.has(address)) this._closeLink(address);
    for (const address of wanted) if (!this._links.has(address)) this._openLink(address);
  }

  private _openLink(address: string): void {
    const { control, clock, state } = this._options;
    const link = new SourceLink({
      address,
      control,
      clock,
      revisions: () => state.revisions,
      onStamp: (stamp) => this._onStamp(address, stamp),
      onChanges: (changes) => this._onChanges(changes),
      onRetained: (records) => state.adoptRetained(records),
      onLost: (reason) => this._onLinkLost(address, reason),
    });
    this._links.set(address, link);
  }

  private _closeLink(address: string): void {
    this._links.get(address)?.close();
    this._links.delete(address);
  }

  private _onLinkLost(address: string, reason: string): void {
    this._links.delete(address);
    const isStarting = this._options.clock.now() - this._startedAt < STARTUP_MILLISECONDS;
    if (!isStarting) this._markFailed(address, reason);
  }

  /** Begins to read when that is wanted for long enough, and ends when others are known to read. */
  private _updateReading({ reads, sources }: SourceChoice): void {
    const { reader, clock } = this._options;
    const now = clock.now();
    this._shouldReadSince = reads ? (this._shouldReadSince ?? now) : undefined;
    const isSettled =
      this._shouldReadSince !== undefined && now - this._shouldReadSince >= SETTLE_MILLISECONDS;
    if (isSettled && !reader.isReading) {
      this._readingSince = now;
      reader.start();
    }
    if (!reads && reader.isReading && sources.some((source) => this._isCurrent(source.address)))
      reader.stop();
  }

  /** Whether a source is known to have the newest copies. */
  private _isCurrent(address: string): boolean {
    const link = this._links.get(address);
    if (!link?.stamp) return false;
    const { confirmedAt } = freshnessOf(link.stamp, link.stampedAt);
    return this._options.clock.now() - confirmedAt <= CONFIRMATION_TIMEOUT_MILLISECONDS;
  }

  /** Takes changes from one source, and from none while the own reading is current. */
  private _selectPrimary(sources: readonly RecordSource[]): void {
    const { reader, log } = this._options;
    const isReader = reader.confirmedAt > Number.NEGATIVE_INFINITY;
    const primary = isReader ? '' : (sources[0]?.address ?? '');
    for (const [address, link] of this._links) link.setWantsChanges(address === primary);
    if (primary === this._primary) return;
    this._primary = primary;
    log.state('records.source', { source: primary === '' ? 'store' : primary });
  }

  /** Notices that another source knows of changes that the copies lack: whoever brings them is not to be relied upon. */
  private _checkLag(): void {
    const { state, clock, reader } = this._options;
    for (const { kind, revision } of state.replicas) {
      const newest = [...this._links.values()].map((link) => newestOf(kind, link.stamp));
      if (!this._lagDetector.exceedsLimit(kind, revision, Math.max(0, ...newest), clock.now())) continue;
      if (reader.confirmedAt > Number.NEGATIVE_INFINITY) reader.refresh();
      else if (this._primary !== '') this._markFailed(this._primary, `behind in ${kind}`);
    }
  }

  private _onStamp(address: string, stamp: RecordStamp): void {
    if (address === this._primary && stamp.withChanges) this._options.state.confirmByStamp(stamp);
    const link = this._links.get(address);
    if (link) this._exchangeRetained(link, stamp);
  }

  /** Exchanges retained records with a source where either side has more. */
  private _exchangeRetained(link: SourceLink, stamp: RecordStamp): void {
    const { state } = this._options;
    for (const replica of state.replicas) {
      const { kind, revision, retained } = replica;
      if (generationOf(stamp.revisions[kind] ?? 0) !== generationOf(revision)) continue;
      const step = link.retainedExchange.next(kind, retained.length, stamp.retained[kind] ?? 0);
      if (step === 'tell') link.sendRetained(state.retainedMessage(replica));
      else if (step === 'ask') link.requestRetained();
    }
  }

  private _onChanges({ kind, revision, whole, objects, gone }: RecordChanges): void {
    const replica = this._options.state.replica(kind);
    if (!replica) return;
    if (whole) return replica.applyListing({ revision, objects: objects.map(fromWireObject) });
    replica.applyChanges(revision, [
      ...objects.map((object) => ({ object: fromWireObject(object), gone: false })),
      ...gone.map((name) => ({ object: { name, revision, value: undefined }, gone: true })),
    ]);
  }
}

/** The newest that a source knows of a kind: a change, or that the store was rolled back. */
function newestOf(kind: string, stamp: RecordStamp | undefined): number {
  return Math.max(stamp?.newestChanges[kind] ?? 0, startOfGeneration(stamp?.revisions[kind] ?? 0));
}
