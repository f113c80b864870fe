/** Admission control: decides whether a request may go to the backend server. */
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { Priority } from '../protocol/headers.js';
import type { Admission, FairQueue } from '../requests/fairQueue.js';
import type { StoredAnswer, Ledger, LedgerRequest, LedgerDecision } from '../requests/ledger.js';
import type { Refusal, RefusalReason } from '../requests/refusals.js';
import { refusalFor } from '../requests/refusals.js';
import type { ServiceHost } from './serviceHost.js';
import type { StagedVersion } from './stagedVersion.js';

/** The properties of a request on which its admission depends. */
export interface GateRequest {
  customer: string;
  configuration: string;
  priority: Priority;
  deadlineMilliseconds: number | undefined;
  /** The version that must answer, or '' for any. */
  version: string;
  /** Undefined for a repeatable request. */
  ledgerRequest: LedgerRequest | undefined;
}

/** Permission to run a request. The holder must call `end` when the request has ended. */
export interface RequestPermit {
  kind: 'run';
  version: StagedVersion;
  admission: Admission;
  end(): void;
}

/** The stored answer of a request that ran before. */
export interface Replay {
  kind: 'replay';
  answer: StoredAnswer;
}

const LEDGER_REFUSAL_REASON: Record<Exclude<LedgerDecision['kind'], 'run' | 'answered'>, RefusalReason> = {
  started: 'already-started',
  'not-owner': 'not-owner',
  uncertain: 'uncertain',
  full: 'ledger-full',
};

/**
 * Checks the ledger first, so that a stored answer is replayed also while the agent is leaving. Then checks whether the
 * agent is leaving, whether the configuration is in service, the version, and the customer's share of the box.
 */
export class RequestGate {
  private readonly _findHost: (customer: string, configuration: string) => ServiceHost | undefined;
  private readonly _queue: FairQueue;
  private readonly _ledger: Ledger;
  private _leaving = false;

  constructor(
    findHost: (customer: string, configuration: string) => ServiceHost | undefined,
    queue: FairQueue,
    ledger: Ledger,
  ) {
    this._findHost = findHost;
    this._queue = queue;
    this._ledger = ledger;
  }

  /** Refuses all new requests from now on. */
  refuseNewRequests(): void {
    this._leaving = true;
  }

  /** Admits a request, returns its stored answer, or refuses it. */
  admit(request: GateRequest): Result<RequestPermit | Replay, Refusal> {
    const host = this._findHost(request.customer, request.configuration);
    const decision = request.ledgerRequest
      ? this._ledger.check(serviceKey(request), request.ledgerRequest)
      : undefined;
    if (decision?.kind === 'answered') return ok({ kind: 'replay', answer: decision.answer });
    if (decision && decision.kind !== 'run') return err(refusalFor(LEDGER_REFUSAL_REASON[decision.kind]));
    const permit = this._admitToVersion(request, host);
    if (permit.isErr() && request.ledgerRequest) this._ledger.cancel(request.ledgerRequest.key);
    return permit;
  }

  private _admitToVersion(
    request: GateRequest,
    host: ServiceHost | undefined,
  ): Result<RequestPermit, Refusal> {
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
    return ok(createPermit(host, version, admitted.value));
  }
}

/** Name of a configuration in the ledger. */
export function serviceKey(service: { customer: string; configuration: string }): string {
  return `${service.customer}.${service.configuration}`;
}

function createPermit(host: ServiceHost, version: StagedVersion, admission: Admission): RequestPermit {
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
