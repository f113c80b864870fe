/** One customer's configuration on this box. Executes the orders for it, one after the other. */
import type { BackendServer, VersionOrder } from '../engine/backendServer.js';
import type { MessageOf } from '../protocol/message.js';
import type { ServiceReport } from '../protocol/reportMessages.js';
import type { OrderRefusal, PlanMessage } from '../protocol/rolloutMessages.js';
import type { Logger } from '../telemetry/logger.js';
import type { Random } from '../utils/random.js';
import { Backoff } from '../utils/backoff.js';
import { errorText } from '../utils/stepError.js';
import { pause } from '../utils/timers.js';
import type { ExchangeServices } from '../weights/exchangeServices.js';
import { StagedVersion } from './stagedVersion.js';

export interface OrderResult {
  accepted: boolean;
  refusal?: OrderRefusal;
  detail?: string;
}

export interface ServiceHostOptions {
  customer: string;
  configuration: string;
  backend: BackendServer;
  exchange: ExchangeServices;
  random: Random;
  logger: Logger;
  /** Returns the base URL from which the backend server of this box reads staged weights. */
  weightsBaseUrl: () => string;
  /** Called when the report changes. */
  onChange: () => void;
}

const LOAD_RETRY_BACKOFF = { firstMilliseconds: 200, longestMilliseconds: 5_000 };
const ACCEPTED: OrderResult = { accepted: true };

/** Remembers the highest epoch of its orders, so that orders with a lower epoch can be refused. */
export class ServiceHost {
  private readonly _options: ServiceHostOptions;
  readonly name: string;
  private readonly _identity: { customer: string; configuration: string };
  private _epoch = 0;
  private _target: StagedVersion | undefined;
  private _active: StagedVersion | undefined;
  private _withdrawn = false;
  private _problem = '';
  private _orders: Promise<unknown> = Promise.resolve();

  constructor(options: ServiceHostOptions) {
    this._options = options;
    this.name = `${options.customer}.${options.configuration}`;
    this._identity = { customer: options.customer, configuration: options.configuration };
  }

  /** The version in service. */
  get active(): StagedVersion | undefined {
    return this._active;
  }

  /** The version being staged and the one in service, if any; after an activation, both are the same version. */
  get versions(): StagedVersion[] {
    const versions = new Set([this._target, this._active]);
    return [...versions].filter((version) => version !== undefined);
  }

  /** Returns whether an order with this epoch may be executed, and remembers the highest epoch. */
  admitEpoch(epoch: number): boolean {
    if (epoch < this._epoch) return false;
    this._epoch = epoch;
    return true;
  }

  /** Prepares a version for staging, or updates the members and the weight of a known one. */
  async plan(plan: PlanMessage): Promise<OrderResult> {
    return await this._runInSequence(() => this._plan(plan));
  }

  /** Starts the transfers of a planned version. Separate from `plan`, so that the peers can be connected in between. */
  startTransfers(): void {
    const target = this._target;
    if (target?.state !== 'staging') return;
    target.exchange.start();
    this._onProgress();
  }

  grant(order: MessageOf<'grant'>): OrderResult {
    const version = this._find(order.rollout);
    if (!version) return { accepted: false, refusal: 'unknown-rollout' };
    version.exchange.grant(order.chunks);
    return ACCEPTED;
  }

  /** Puts the staged version into service. Idempotent. */
  async activate(order: MessageOf<'activate'>): Promise<OrderResult> {
    return await this._runInSequence(() => this._activate(order));
  }

  /** Removes the configuration from the box. Each version is unloaded when its last request has ended. */
  async withdraw(): Promise<OrderResult> {
    return await this._runInSequence(() => this._withdraw());
  }

  /** Called when a request on `version` has ended. */
  onRequestEnd(version: StagedVersion): void {
    version.inFlight--;
    if (version.inFlight === 0 && version !== this._active && version !== this._target) this._unload(version);
  }

  /** `ledgerHash` is the hash of the ledger slots that this box owns. */
  report(ledgerHash: number): ServiceReport | undefined {
    const version = this._target ?? this._active;
    if (!version || this._withdrawn || version.state === 'superseded') return undefined;
    const { exchange } = version;
    return {
      ...this._identity,
      epoch: this._epoch,
      activeVersion: this._active?.plan.version ?? '',
      activeRollout: this._active?.plan.rollout ?? '',
      rollout: version.plan.rollout,
      state: version.state,
      heldChunks: exchange.held.count,
      totalChunks: exchange.held.size,
      ...exchange.counts,
      openDraws: exchange.openDraws.length,
      failedDraws: exchange.failedDraws,
      ledgerHash,
      problem: exchange.problem || this._problem,
    };
  }

  /** Runs orders one after the other, so that none sees an intermediate state of another one. */
  private async _runInSequence<T>(execute: () => T | Promise<T>): Promise<T> {
    const result = this._orders.then(execute);
    this._orders = result.catch(() => undefined);
    return await result;
  }

  private _plan(plan: PlanMessage): OrderResult {
    this._withdrawn = false;
    const existing = this.versions.find((version) => version.plan.rollout === plan.rollout);
    if (existing) {
      existing.plan.members = plan.members;
      existing.plan.weight = plan.weight;
      existing.exchange.updateMembers(plan);
      return ACCEPTED;
    }
    if (this._target && this._target !== this._active) this._target.drop();
    this._target = new StagedVersion(this._options.exchange, plan, () => this._onProgress());
    this._options.logger.state('version.staging', {
      ...this._identity,
      rollout: plan.rollout,
      epoch: plan.epoch,
    });
    return ACCEPTED;
  }

  private _withdraw(): OrderResult {
    this._withdrawn = true;
    const versions = this.versions;
    this._target = undefined;
    this._active = undefined;
    for (const version of versions) this._unloadWhenIdle(version);
    this._options.onChange();
    return ACCEPTED;
  }

  private _find(rollout: string): StagedVersion | undefined {
    return this.versions.find((version) => version.plan.rollout === rollout);
  }

  private _onProgress(): void {
    const target = this._target;
    if (target?.exchange.complete && target.state === 'staging') {
      target.advance('CHUNKS_COMPLETE');
      this._options.logger.state('version.staged', { ...this._identity, rollout: target.plan.rollout });
      void this._load(target);
    }
    this._options.onChange();
  }

  /** Loads a complete version next to the active one. Retries until it is loaded or superseded. */
  private async _load(version: StagedVersion): Promise<void> {
    const backoff = new Backoff(LOAD_RETRY_BACKOFF, this._options.random);
    while (version === this._target && version.state === 'staged') {
      try {
        await this._options.backend.load(this._loadOrder(version));
        version.advance('LOADED');
        this._problem = '';
      } catch (error) {
        this._problem = errorText(error);
        this._options.logger.state('version.load-failed', { ...this._identity, reason: this._problem });
        await pause(backoff.nextWait());
      }
      this._options.onChange();
    }
  }

  private _loadOrder(version: StagedVersion): VersionOrder & { totalBytes: number; weightsUrl: string } {
    const weightsUrl = `${this._options.weightsBaseUrl()}/local-weights/${version.weightsToken}`;
    return { ...this._versionOrder(version), totalBytes: version.index.totalBytes, weightsUrl };
  }

  private _versionOrder(version: StagedVersion): VersionOrder {
    const { customer, model, version: name } = version.plan;
    return { customer, model, version: name, epoch: this._epoch };
  }

  private async _activate(order: MessageOf<'activate'>): Promise<OrderResult> {
    const version = this._find(order.rollout);
    if (!version) return { accepted: false, refusal: 'unknown-rollout' };
    if (version === this._active) return ACCEPTED;
    if (version.state !== 'loaded') return { accepted: false, refusal: 'not-staged', detail: version.state };
    try {
      await this._options.backend.activate(this._versionOrder(version));
    } catch (error) {
      return { accepted: false, refusal: 'backend-refused', detail: errorText(error) };
    }
    this._switchTo(version);
    return ACCEPTED;
  }

  private _switchTo(version: StagedVersion): void {
    const previous = this._active;
    version.advance('ACTIVATED');
    this._active = version;
    if (previous) this._unloadWhenIdle(previous);
    this._options.logger.state('version.active', { ...this._identity, version: version.plan.version });
    this._options.onChange();
  }

  /** Unloads a version now, or when its last request has ended. */
  private _unloadWhenIdle(version: StagedVersion): void {
    if (version.inFlight === 0) this._unload(version);
  }

  private _unload(version: StagedVersion): void {
    version.drop();
    if (version.plan.version === this._active?.plan.version) return;
    this._options.backend.unload(this._versionOrder(version)).catch((error: unknown) => {
      this._options.logger.state('version.unload-failed', { ...this._identity, reason: errorText(error) });
    });
  }
}
