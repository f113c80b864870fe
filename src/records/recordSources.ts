/**
 * Keeps this entry connected to the sources of its copies of the store's records, and starts and stops its own
 * reading of the store.
 */
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

export interface RecordSourcesOptions {
  own: RecordSource;
  seeds: readonly string[];
  /** Live entries in an order that is the same at every entry. */
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
/** The time of three stamps, and a margin for the network. */
const SILENCE_TIMEOUT_MILLISECONDS = 1_000;
/** Two intervals of probes, the timeout of a probe, and a stamp: a healthy reader confirms its copies more often. */
const CONFIRMATION_TIMEOUT_MILLISECONDS = 1_300;
/** Time that a new source has to become current, or this process after it has started to read the store. */
const GRACE_MILLISECONDS = 1_000;
/** The choice to read the store must last for this time, because starting entries discover each other one by one. */
const SETTLE_MILLISECONDS = 250;
/**
 * During this time after the start, other entries may still be starting, so a lost link is retried before its source
 * counts as failed.
 */
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
  /** Sources and kinds for which it has been logged that the source does not provide the kind. */
  private readonly _notProvided = new Set<string>();
  private readonly _stopped = new AbortController();
  private _timer: NodeJS.Timeout | undefined;

  constructor(options: RecordSourcesOptions) {
    this._options = options;
    this._failed = new FailedSources(options.clock, options.log);
  }

  /** Address of the entry that sends changes to this process; '' while it reads the store or has no source. */
  get primary(): string {
    return this._primary;
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
   * Loads what the store held some seconds ago, so that this entry can serve requests and find other entries at once,
   * even if all seeds are gone. This does not confirm the copies.
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

  /**
   * Tells other entries at once that this one has lost the store, so that they start to read before their copies are
   * too old.
   */
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

  /** Starts to read the store when the choice to read has settled. Stops only when another source is current. */
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

  /** Whether a source has confirmed recently that its copies are the newest. */
  private _isCurrent(address: string): boolean {
    const link = this._links.get(address);
    if (!link?.stamp) return false;
    const { confirmedAt } = freshnessOf(link.stamp, link.stampedAt);
    return this._options.clock.now() - confirmedAt <= CONFIRMATION_TIMEOUT_MILLISECONDS;
  }

  /** Subscribes to the changes of one source, or of none while this process reads the store successfully. */
  private _selectPrimary(sources: readonly RecordSource[]): void {
    const { reader, log } = this._options;
    const isReader = reader.confirmedAt > Number.NEGATIVE_INFINITY;
    const primary = isReader ? '' : (sources[0]?.address ?? '');
    for (const [address, link] of this._links) link.setWantsChanges(address === primary);
    if (primary === this._primary) return;
    this._primary = primary;
    log.state('records.source', { source: primary === '' ? 'store' : primary });
  }

  /**
   * Checks whether the copies have lacked for too long a change that another source has. If so, their own source
   * does not work: this process lists the store again if it reads it, and otherwise changes its primary source.
   */
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
    if (address === this._primary && stamp.withChanges) {
      for (const kind of this._options.state.confirmByStamp(stamp)) this._logNotProvided(address, kind);
    }
    const link = this._links.get(address);
    if (link) this._exchangeRetained(link, stamp);
  }

  private _logNotProvided(source: string, kind: string): void {
    const key = `${source}/${kind}`;
    if (this._notProvided.has(key)) return;
    this._notProvided.add(key);
    this._options.log.state('records.not-provided', { source, kind });
  }

  /** Sends retained records to a source that has fewer, and requests those of a source that has more. */
  private _exchangeRetained(link: SourceLink, stamp: RecordStamp): void {
    const { state } = this._options;
    for (const replica of state.replicas) {
      const { kind, revision, retained } = replica;
      if (generationOf(stamp.revisions[kind] ?? 0) !== generationOf(revision)) continue;
      const step = link.retainedExchange.next(kind, retained.length, stamp.retained[kind] ?? 0);
      if (step === 'send') link.sendRetained(state.retainedMessage(replica));
      else if (step === 'request') link.requestRetained();
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

/** Revision of the newest change of a kind that a source has; a rollback of the store counts as a change. */
function newestOf(kind: string, stamp: RecordStamp | undefined): number {
  return Math.max(stamp?.newestChanges[kind] ?? 0, startOfGeneration(stamp?.revisions[kind] ?? 0));
}
