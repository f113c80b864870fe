/** Decides which configurations this entry coordinates, and runs their coordinators. */
import type { ConfigurationName } from '../configuration/recordKeys.js';
import { configurationKey, shortName } from '../configuration/recordKeys.js';
import { LeaseKeeper } from '../lease/leaseKeeper.js';
import type { Box } from '../platform/boxList.js';
import { errorText } from '../utils/stepError.js';
import { rendezvousOrder } from '../utils/rendezvous.js';
import type { CoordinatorServices } from './rolloutCoordinator.js';
import { RolloutCoordinator } from './rolloutCoordinator.js';
import { needsWork } from './workCheck.js';
import type { WantedConfiguration } from './specifications.js';

/** What a pool works with. */
export interface CoordinatorPoolOptions extends CoordinatorServices {
  /** Box and incarnation of this entry. */
  holder: string;
  box: string;
  leaseMilliseconds: number;
  /** Entries that may coordinate: live and not leaving. */
  entries: () => Box[];
  isLeaving: () => boolean;
}

/** One configuration under this entry's eyes. */
interface Charge {
  lease: LeaseKeeper;
  coordinator: RolloutCoordinator | undefined;
  epoch: number | undefined;
  idleSince: number | undefined;
  busy: boolean;
}

const STEP_INTERVAL_MILLISECONDS = 50;
/** How often to look when nothing has changed and no lease is held. */
const QUIET_INTERVAL_MILLISECONDS = 500;
/** How long a lease is kept with nothing to do. */
const IDLE_MILLISECONDS = 1_000;

/** The entry that ranks first for a configuration takes its lease at once, the others after growing waits. */
export class CoordinatorPool {
  private readonly _options: CoordinatorPoolOptions;
  private readonly _charges = new Map<string, Charge>();
  private _timer: NodeJS.Timeout | undefined;
  private _dueAt = 0;
  private _stopped = false;

  constructor(options: CoordinatorPoolOptions) {
    this._options = options;
    options.replica.on('change', () => this._wake());
    options.links.on('change', () => this._wake());
    this._schedule(STEP_INTERVAL_MILLISECONDS);
  }

  /** The epoch under which this entry coordinates a configuration; undefined when it does not. */
  epochOf(name: ConfigurationName): number | undefined {
    return this._charges.get(shortName(name))?.lease.epoch;
  }

  /** Gives all leases back. */
  async stop(): Promise<void> {
    this._stopped = true;
    clearTimeout(this._timer);
    await Promise.all([...this._charges.values()].map((charge) => charge.lease.release()));
  }

  /** Looks soon after a change. */
  private _wake(): void {
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
    const working = [...this._charges.values()].some(
      (charge) => charge.busy || charge.lease.epoch !== undefined,
    );
    this._schedule(working ? STEP_INTERVAL_MILLISECONDS : QUIET_INTERVAL_MILLISECONDS);
    for (const wanted of this._options.specifications.all()) {
      const charge = this._charge(wanted.name);
      if (charge.lease.epoch !== undefined) this._renew(charge);
      if (charge.busy) continue;
      charge.busy = true;
      void this._step(wanted, charge)
        .catch((error: unknown) =>
          this._options.logger.state('coordinator.failed', { reason: errorText(error) }),
        )
        .finally(() => (charge.busy = false));
    }
  }

  /** Renewal does not wait for a step, which may wait for a silent agent. */
  private _renew(charge: Charge): void {
    charge.lease.tick(0).catch((error: unknown) => {
      this._options.logger.state('lease.failed', { reason: errorText(error) });
    });
  }

  private _charge(name: ConfigurationName): Charge {
    let charge = this._charges.get(shortName(name));
    if (!charge) {
      charge = {
        lease: this._createLease(name),
        coordinator: undefined,
        epoch: undefined,
        idleSince: undefined,
        busy: false,
      };
      this._charges.set(shortName(name), charge);
    }
    return charge;
  }

  private _createLease(name: ConfigurationName): LeaseKeeper {
    return new LeaseKeeper({
      key: configurationKey('lease', name),
      holder: this._options.holder,
      lifetimeMilliseconds: this._options.leaseMilliseconds,
      replica: this._options.replica,
      writer: this._options.writer,
      clock: this._options.clock,
      logger: this._options.logger,
    });
  }

  private async _step(wanted: WantedConfiguration, charge: Charge): Promise<void> {
    const work = needsWork(wanted, this._options);
    if (!work && charge.lease.epoch === undefined) return;
    if (!work) return await this._idle(charge);
    charge.idleSince = undefined;
    if (this._options.isLeaving()) return await charge.lease.release();
    if (charge.lease.epoch === undefined) await charge.lease.tick(this._rank(wanted.name));
    const epoch = charge.lease.epoch;
    if (epoch === undefined) return;
    if (charge.epoch !== epoch) {
      charge.epoch = epoch;
      charge.coordinator = new RolloutCoordinator(this._options, wanted.name, () =>
        this._currentEpoch(charge, epoch),
      );
    }
    await charge.coordinator!.step();
  }

  /** A coordinator never acts under a later epoch than its own. */
  private _currentEpoch(charge: Charge, epoch: number): number | undefined {
    return charge.lease.epoch === epoch ? epoch : undefined;
  }

  private async _idle(charge: Charge): Promise<void> {
    const now = this._options.clock.now();
    charge.idleSince ??= now;
    if (now - charge.idleSince < IDLE_MILLISECONDS) return;
    charge.idleSince = undefined;
    await charge.lease.release();
  }

  private _rank(name: ConfigurationName): number {
    const ordered = rendezvousOrder(shortName(name), this._options.entries(), (entry) => entry.box);
    const rank = ordered.findIndex((entry) => entry.box === this._options.box);
    return rank < 0 ? ordered.length : rank;
  }
}
