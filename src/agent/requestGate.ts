/** Decides on every request that reaches the box, before the backend server sees it. */
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { Priority } from '../protocol/headers.js';
import type { Admission, FairQueue } from '../requests/fairQueue.js';
import type { StoredAnswer, Ledger, LedgerRequest, LedgerDecision } from '../requests/ledger.js';
import type { Refusal, RefusalReason } from '../requests/refusals.js';
import { refusalFor } from '../requests/refusals.js';
import type { ServiceHost } from './serviceHost.js';
import type { StagedVersion } from './stagedVersion.js';

/** A request as the gate sees it. */
export interface GateRequest {
  customer: string;
  configuration: string;
  priority: Priority;
  deadlineMilliseconds: number | undefined;
  /** The only version that will do, or ''. */
  version: string;
  /** Present when the request is not repeatable. */
  once: LedgerRequest | undefined;
}

/** A request that may run. `end` must be called once it is over. */
export interface Pass {
  kind: 'run';
  version: StagedVersion;
  admission: Admission;
  end(): void;
}

/** The kept answer of a request that ran before. */
export interface Replay {
  kind: 'replay';
  answer: StoredAnswer;
}

const VERDICT_REASON: Record<Exclude<LedgerDecision['kind'], 'run' | 'answered'>, RefusalReason> = {
  started: 'already-started',
  'not-owner': 'not-owner',
  uncertain: 'uncertain',
  full: 'ledger-full',
};

/** Checks, in this order: leaving, in service, version, ledger, share of the box. */
export class RequestGate {
  private readonly _hosts: (customer: string, configuration: string) => ServiceHost | undefined;
  private readonly _queue: FairQueue;
  private readonly _ledger: Ledger;
  private _leaving = false;

  constructor(
    hosts: (customer: string, configuration: string) => ServiceHost | undefined,
    queue: FairQueue,
    ledger: Ledger,
  ) {
    this._hosts = hosts;
    this._queue = queue;
    this._ledger = ledger;
  }

  /** Refuses all new work from now on. */
  leave(): void {
    this._leaving = true;
  }

  /** Lets a request in, replays its answer, or refuses it at once. */
  enter(request: GateRequest): Result<Pass | Replay, Refusal> {
    const host = this._hosts(request.customer, request.configuration);
    const verdict = request.once ? this._ledger.check(serviceKey(request), request.once) : undefined;
    if (verdict?.kind === 'answered') return ok({ kind: 'replay', answer: verdict.answer });
    if (verdict && verdict.kind !== 'run') return err(refusalFor(VERDICT_REASON[verdict.kind]));
    const pass = this._enterVersion(request, host);
    if (pass.isErr() && request.once) this._ledger.cancel(request.once.key);
    return pass;
  }

  private _enterVersion(request: GateRequest, host: ServiceHost | undefined): Result<Pass, Refusal> {
    const version = host?.active;
    if (this._leaving) return err(refusalFor('leaving'));
    if (!host || !version) return err(refusalFor('not-serving'));
    if (request.version !== '' && request.version !== version.plan.version)
      return err(refusalFor('other-version'));
    const { customer, priority, deadlineMilliseconds } = request;
    const admitted = this._queue.admit({
      customer,
      weight: version.plan.weight,
      priority,
      deadlineMilliseconds,
    });
    if (admitted.isErr())
      return err(refusalFor(admitted.error.reason, admitted.error.retryAfterMilliseconds));
    return ok(passFor(host, version, admitted.value));
  }
}

/** The ledger's name for a configuration. */
export function serviceKey(service: { customer: string; configuration: string }): string {
  return `${service.customer}.${service.configuration}`;
}

function passFor(host: ServiceHost, version: StagedVersion, admission: Admission): Pass {
  let ended = false;
  version.inFlight++;
  const end = (): void => {
    if (ended) return;
    ended = true;
    admission.release();
    host.onRequestEnd(version);
  };
  return { kind: 'run', version, admission, end };
}
