/** A version on this box that is being staged or is in service. */
import { randomUUID } from 'node:crypto';
import type { Actor } from 'xstate';
import type { StageState } from '../protocol/reportMessages.js';
import type { PlanMessage } from '../protocol/rolloutMessages.js';
import type { ExchangeServices } from '../weights/exchangeServices.js';
import { RolloutExchange } from '../weights/rolloutExchange.js';
import { ManifestIndex } from '../weights/manifestIndex.js';
import type { StageEvent, stageMachine } from './stageMachine.js';
import { startStageMachine } from './stageMachine.js';

/** Holds the state of a version and the exchange of its chunks. */
export class StagedVersion {
  readonly plan: PlanMessage;
  readonly index: ManifestIndex;
  readonly exchange: RolloutExchange;
  /** Secret part of the URL from which the backend server of this box reads the weights. */
  readonly weightsToken = randomUUID();
  /** Number of requests running on this version. */
  inFlight = 0;
  private readonly _services: ExchangeServices;
  private readonly _stage: Actor<typeof stageMachine> = startStageMachine();

  constructor(services: ExchangeServices, plan: PlanMessage, onChange: () => void) {
    this.plan = plan;
    this._services = services;
    this.index = new ManifestIndex(plan.manifest);
    this.exchange = new RolloutExchange(services, plan, this.index, onChange);
  }

  get state(): StageState | 'superseded' {
    return this._stage.getSnapshot().value as StageState | 'superseded';
  }

  /** Sends an event to the state machine. Has no effect if the event isn't valid in the current state. */
  advance(event: StageEvent['type']): void {
    this._stage.send({ type: event });
  }

  /** Returns the verified bytes of a chunk; undefined if this box doesn't have them. */
  chunkData(chunk: number): Buffer | undefined {
    if (chunk >= this.index.chunkCount || !this.exchange.held.has(chunk)) return undefined;
    return this._services.store.get(this.plan.customer, this.index.chunk(chunk).digest);
  }

  /** Whether `box` is part of the rollout, and so may fetch its chunks. */
  hasMember(box: string): boolean {
    return this.plan.members.some((member) => member.box === box);
  }

  areInDifferentDataCentres(one: string, other: string): boolean {
    const dataCentreOf = (box: string): string | undefined =>
      this.plan.members.find((member) => member.box === box)?.dataCentre;
    return dataCentreOf(one) !== dataCentreOf(other);
  }

  /** Stops transfers and releases the chunks. */
  drop(): void {
    this.advance('SUPERSEDED');
    this.exchange.stop();
    this._services.store.release(this.plan.rollout);
  }
}
