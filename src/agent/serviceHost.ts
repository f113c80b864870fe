/** One customer's configuration on this box: carries out its orders, one after the other. */
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

/** The result of an order. */
export interface OrderResult {
  accepted: boolean;
  refusal?: OrderRefusal;
  detail?: string;
}

/** What a service host works with. */
export interface ServiceHostOptions {
  customer: string;
  configuration: string;
  backend: BackendServer;
  exchange: ExchangeServices;
  random: Random;
  logger: Logger;
  /** Base URL under which the backend server of this box reads staged weights. */
  weightsBaseUrl: () => string;
  onChange: () => void;
}

const LOAD_RETRY = { firstMilliseconds: 200, longestMilliseconds: 5_000 };
const ACCEPTED: OrderResult = { accepted: true };

/** Refuses every order whose epoch is lower than the highest it has seen. */
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

  /** The version in service, if any. */
  get active(): StagedVersion | undefined {
    return this._active;
  }

  /** All versions that this box holds chunks of. */
  get versions(): StagedVersion[] {
    const versions = new Set([this._target, this._active]);
    return [...versions].filter((version) => version !== undefined);
  }

  /** Whether an order of that epoch may be carried out; remembers the highest. */
  admitEpoch(epoch: number): boolean {
    if (epoch < this._epoch) return false;
    this._epoch = epoch;
    return true;
  }

  /** Begins to stage a version, or follows new members of the one being staged. */
  async plan(plan: PlanMessage): Promise<OrderResult> {
    return await this._inOrder(() => this._plan(plan));
  }

  /** Starts the transfers of a planned version; apart from plan() so that peers are connected first. */
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

  /** Makes the staged version the one in service. Repeating it is harmless. */
  async activate(order: MessageOf<'activate'>): Promise<OrderResult> {
    return await this._inOrder(() => this._activate(order));
  }

  /** Takes the configuration off the box once its requests have ended. */
  async withdraw(): Promise<OrderResult> {
    return await this._inOrder(() => this._withdraw());
  }

  /** Tells a version that one of its requests ended. */
  onRequestEnd(version: StagedVersion): void {
    version.inFlight--;
    if (version.inFlight === 0 && version !== this._active && version !== this._target) this._unload(version);
  }

  /** `ledgerHash` is the hash of the ledger slots given to this box. */
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

  /** Runs orders one after the other, so that none meets a half-done one. */
  private async _inOrder<T>(order: () => T | Promise<T>): Promise<T> {
    const result = this._orders.then(order);
    this._orders = result.catch(() => undefined);
    return await result;
  }

  private _plan(plan: PlanMessage): OrderResult {
    this._withdrawn = false;
    const known = this.versions.find((version) => version.plan.rollout === plan.rollout);
    if (known) {
      known.plan.members = plan.members;
      known.plan.weight = plan.weight;
      known.exchange.updateMembers(plan);
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
    for (const version of versions) this._retire(version);
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

  /** Loads a complete version beside the active one; tries again until it works or is superseded. */
  private async _load(version: StagedVersion): Promise<void> {
    const backoff = new Backoff(LOAD_RETRY, this._options.random);
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
    if (previous) this._retire(previous);
    this._options.logger.state('version.active', { ...this._identity, version: version.plan.version });
    this._options.onChange();
  }

  /** Lets go of a version now, or when its last request ends. */
  private _retire(version: StagedVersion): void {
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
