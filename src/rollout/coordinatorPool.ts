/** Decides which configurations this entry coordinates, and runs their coordinators. */
import type { ConfigurationName } from '../configuration/recordKeys.js';
import { configurationKey, shortName } from '../configuration/recordKeys.js';
import { LeaseKeeper } from '../lease/leaseKeeper.js';
import type { ConditionalWriter } from '../configuration/conditionalWriter.js';
import type { Box } from '../external/boxList.js';
import { errorText } from '../utils/stepError.js';
import { rendezvousOrder } from '../utils/rendezvous.js';
import type { CoordinatorServices } from './rolloutCoordinator.js';
import { RolloutCoordinator } from './rolloutCoordinator.js';
import { needsCoordinator } from './needsCoordinator.js';
import type { WantedConfiguration } from './specifications.js';

/** Options of a {@link CoordinatorPool}. */
export interface CoordinatorPoolOptions extends CoordinatorServices {
  /** Box and incarnation of this entry. */
  holder: string;
  box: string;
  leaseMilliseconds: number;
  /** Writes leases without queueing them behind other writes. */
  leaseWriter: ConditionalWriter;
  /** Entries that may coordinate: those that are live and not leaving. */
  entries: () => Box[];
  isLeaving: () => boolean;
}

/** State of a configuration for which this entry holds the lease or tries to acquire it. */
interface ManagedConfiguration {
  lease: LeaseKeeper;
  coordinator: RolloutCoordinator | undefined;
  epoch: number | undefined;
  idleSince: number | undefined;
  busy: boolean;
}

const STEP_INTERVAL_MILLISECONDS = 50;
/** Step interval while nothing has changed and no lease is held. */
const IDLE_STEP_INTERVAL_MILLISECONDS = 500;
/** Leases that an entry holds at the same time. Each one costs a renewal per third of the lease lifetime. */
const MAX_LEASES = 8;
/** How long an idle lease is kept before it is released. */
const IDLE_LEASE_MILLISECONDS = 1_000;

/**
 * For each configuration the entries are ranked by rendezvous hashing. The first one acquires a free lease at once, the
 * others after a delay that grows with their rank.
 */
export class CoordinatorPool {
  private readonly _options: CoordinatorPoolOptions;
  private readonly _managed = new Map<string, ManagedConfiguration>();
  private _timer: NodeJS.Timeout | undefined;
  private _dueAt = 0;
  private _stopped = false;

  constructor(options: CoordinatorPoolOptions) {
    this._options = options;
    options.replica.on('change', () => this._scheduleSoon());
    options.links.on('change', () => this._scheduleSoon());
    this._schedule(STEP_INTERVAL_MILLISECONDS);
  }

  /** Returns the boxes of all configurations that this entry coordinates or for which it ranks first. */
  coordinatedBoxes(): Set<string> {
    const coordinated = this._options.specifications.all().filter(({ name }) => {
      return this._managed.get(shortName(name))?.lease.epoch !== undefined || this._rank(name) === 0;
    });
    return new Set(coordinated.flatMap(({ specification }) => specification?.boxes ?? []));
  }

  /** Stops all work and releases all leases. */
  async stop(): Promise<void> {
    this._stopped = true;
    clearTimeout(this._timer);
    await Promise.all([...this._managed.values()].map((managed) => managed.lease.close()));
  }

  /** Runs the next step soon, after a change of the replica or of the links. */
  private _scheduleSoon(): void {
    if (this._dueAt - this._options.clock.now() > STEP_INTERVAL_MILLISECONDS)
      this._schedule(STEP_INTERVAL_MILLISECONDS);
  }

  private _schedule(milliseconds: number): void {
    if (this._stopped) return;
    clearTimeout(this._timer);
    this._dueAt = this._options.clock.now() + milliseconds;
    this._timer = setTimeout(() => this._stepAll(), milliseconds);
  }

  private _stepAll(): void {
    const working = [...this._managed.values()].some(
      (managed) => managed.busy || managed.lease.epoch !== undefined,
    );
    this._schedule(working ? STEP_INTERVAL_MILLISECONDS : IDLE_STEP_INTERVAL_MILLISECONDS);
    for (const wanted of this._options.specifications.all()) this._startStep(wanted);
  }

  /** Starts a step of one configuration unless one is running. Keeps its state only while there is work or a lease. */
  private _startStep(wanted: WantedConfiguration): void {
    const needed = needsCoordinator(wanted, this._options);
    const key = shortName(wanted.name);
    const managed = this._managed.get(key) ?? (needed ? this._getOrCreate(wanted.name) : undefined);
    if (!managed) return;
    if (managed.lease.epoch !== undefined) this._renew(managed);
    else if (!needed && !managed.busy) this._managed.delete(key);
    if (managed.busy) return;
    managed.busy = true;
    void this._step(wanted, managed, needed)
      .catch((error: unknown) =>
        this._options.logger.state('coordinator.failed', { reason: errorText(error) }),
      )
      .finally(() => (managed.busy = false));
  }

  /** Renews the lease independently of the running step, which may be waiting for an agent that does not answer. */
  private _renew(managed: ManagedConfiguration): void {
    managed.lease.tick(0).catch((error: unknown) => {
      this._options.logger.state('lease.failed', { reason: errorText(error) });
    });
  }

  private _getOrCreate(name: ConfigurationName): ManagedConfiguration {
    let managed = this._managed.get(shortName(name));
    if (!managed) {
      managed = {
        lease: this._createLease(name),
        coordinator: undefined,
        epoch: undefined,
        idleSince: undefined,
        busy: false,
      };
      this._managed.set(shortName(name), managed);
    }
    return managed;
  }

  private _createLease(name: ConfigurationName): LeaseKeeper {
    return new LeaseKeeper({
      key: configurationKey('lease', name),
      holder: this._options.holder,
      lifetimeMilliseconds: this._options.leaseMilliseconds,
      replica: this._options.replica,
      writer: this._options.leaseWriter,
      clock: this._options.clock,
      logger: this._options.logger,
    });
  }

  private async _step(
    wanted: WantedConfiguration,
    managed: ManagedConfiguration,
    needed: boolean,
  ): Promise<void> {
    if (!needed) return await this._releaseWhenIdle(managed);
    managed.idleSince = undefined;
    if (this._options.isLeaving()) return await managed.lease.release();
    if (managed.lease.epoch === undefined && this._heldLeases() < MAX_LEASES) {
      await managed.lease.tick(this._rank(wanted.name));
    }
    const epoch = managed.lease.epoch;
    if (epoch === undefined) return;
    if (managed.epoch !== epoch) {
      managed.epoch = epoch;
      managed.coordinator = new RolloutCoordinator(this._options, wanted.name, () =>
        this._currentEpoch(managed, epoch),
      );
    }
    await managed.coordinator!.step();
  }

  /** Returns `epoch` while the lease is held under it, so that a coordinator never acts under a later epoch. */
  private _currentEpoch(managed: ManagedConfiguration, epoch: number): number | undefined {
    return managed.lease.epoch === epoch ? epoch : undefined;
  }

  private async _releaseWhenIdle(managed: ManagedConfiguration): Promise<void> {
    const now = this._options.clock.now();
    managed.idleSince ??= now;
    if (now - managed.idleSince < IDLE_LEASE_MILLISECONDS) return;
    managed.idleSince = undefined;
    await managed.lease.release();
  }

  private _heldLeases(): number {
    return [...this._managed.values()].filter((managed) => managed.lease.epoch !== undefined).length;
  }

  private _rank(name: ConfigurationName): number {
    const ordered = rendezvousOrder(shortName(name), this._options.entries(), (entry) => entry.box);
    const rank = ordered.findIndex((entry) => entry.box === this._options.box);
    return rank < 0 ? ordered.length : rank;
  }
}
