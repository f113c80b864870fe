/** One version on its way to, or in, service on this box. */
import { randomUUID } from 'node:crypto';
import type { Actor } from 'xstate';
import type { StageState } from '../protocol/reportMessages.js';
import type { PlanMessage } from '../protocol/rolloutMessages.js';
import type { ExchangeServices } from '../weights/exchangeServices.js';
import { RolloutExchange } from '../weights/rolloutExchange.js';
import { ManifestIndex } from '../weights/manifestIndex.js';
import type { StageEvent, stageMachine } from './stageMachine.js';
import { startStage } from './stageMachine.js';

/** Couples the chunks of a version with its stage. */
export class StagedVersion {
  readonly plan: PlanMessage;
  readonly index: ManifestIndex;
  readonly exchange: RolloutExchange;
  /** Names the version's bytes towards the backend server of this box; nobody else learns it. */
  readonly weightsToken = randomUUID();
  /** Requests that run on this version. */
  inFlight = 0;
  private readonly _services: ExchangeServices;
  private readonly _stage: Actor<typeof stageMachine> = startStage();

  constructor(services: ExchangeServices, plan: PlanMessage, onChange: () => void) {
    this.plan = plan;
    this._services = services;
    this.index = new ManifestIndex(plan.manifest);
    this.exchange = new RolloutExchange(services, plan, this.index, onChange);
  }

  get state(): StageState | 'superseded' {
    return this._stage.getSnapshot().value as StageState | 'superseded';
  }

  /** Moves the stage on; an event that does not fit the state changes nothing. */
  advance(event: StageEvent['type']): void {
    this._stage.send({ type: event });
  }

  /** The verified bytes of a chunk. */
  chunkData(chunk: number): Buffer | undefined {
    if (chunk >= this.index.chunkCount || !this.exchange.held.has(chunk)) return undefined;
    return this._services.store.get(this.plan.customer, this.index.chunk(chunk).digest);
  }

  /** Whether `box` belongs to the rollout and may fetch its chunks. */
  hasMember(box: string): boolean {
    return this.plan.members.some((member) => member.box === box);
  }

  /** Whether two boxes of the rollout stand in different data centres. */
  areInDifferentDataCentres(one: string, other: string): boolean {
    const dataCentreOf = (box: string): string | undefined =>
      this.plan.members.find((member) => member.box === box)?.dataCentre;
    return dataCentreOf(one) !== dataCentreOf(other);
  }

  /** Ends transfers and lets the chunks go. */
  drop(): void {
    this.advance('SUPERSEDED');
    this.exchange.stop();
    this._services.store.release(this.plan.rollout);
  }
}
