/** What a planned stop of the entry means for one request: whether it may still be sent to a server. */
import type { DrainVerdict } from '../draining/drainAdmission.js';
import type { ExpectedRequest } from '../draining/durationEstimator.js';
import type { StreamObservation } from '../draining/streamObservation.js';
import type { AdmittedRequest } from './admittedRequest.js';
import type { EntryDrain } from './entryDrain.js';
import { expectedRequest } from './expectedRequest.js';
import type { ForwardingContext } from './forwardingContext.js';
import type { EndFields, RequestOutcome } from './requestTrace.js';
import { isRepeatable } from './servingConfiguration.js';

/** Numbers of pauses between events after which the pace of a stream may be, and has to be, decided on. */
const MIN_PAUSES = 2;
const MAX_PAUSES = 6;
/** Outcomes of requests that ran for as long as they needed, or longer than they had. */
const MEASURED_OUTCOMES: ReadonlySet<RequestOutcome> = new Set(['answered', 'failed', 'cut']);

/** Whether a stream that is being measured ends in time. */
export type MeasurementResult = 'unknown' | 'ends in time' | 'too long';

export class RequestDrain {
  /** Undefined for a request whose answer is not a stream. */
  readonly observation: StreamObservation | undefined;
  private readonly _context: ForwardingContext;
  private readonly _request: AdmittedRequest;
  private readonly _endDuration: (isMeasured: boolean) => void;
  private _isMeasuring = false;
  private _endMeasuring: () => void = () => undefined;
  /** The last verdict while the entry was leaving. */
  private _verdict: DrainVerdict | undefined;
  /** The verdict on which the request was first sent to a server while the entry was leaving. */
  private _taken: DrainVerdict | undefined;

  constructor(context: ForwardingContext, request: AdmittedRequest) {
    this._context = context;
    this._request = request;
    const { service, route, outputTokens } = request;
    this._endDuration = this._drain.durations.begin({ service, route: route.name });
    if (route.kind === 'stream') this.observation = this._drain.pace.observe(service, outputTokens);
  }

  /** Whether the answer must be held back until its pace shows that it ends in time. */
  get isMeasuring(): boolean {
    return this._isMeasuring;
  }

  /** Milliseconds after which the caller should retry at the earliest; 0 while the entry is not leaving. */
  get minimumRetryDelay(): number {
    return this._drain.isLeaving ? this._drain.retryAfterMilliseconds : 0;
  }

  /** Whether the request can end before the entry closes its connections, or is being measured to find out. */
  canEnd(): boolean {
    if (this._isMeasuring || !this._drain.isLeaving) return true;
    this._verdict = this._drain.admission.decide(this._expected());
    return this._verdict.decision !== 'reject';
  }

  /**
   * Whether the request may be sent to a server now. Begins to measure a stream that is not certain to end in time,
   * unless it `hasBegun`: then its caller has been sent a part of the answer.
   */
  mayStart(hasBegun: boolean): boolean {
    if (!this.canEnd()) return false;
    if (this._isMeasuring || !this._verdict) return true;
    this._taken ??= this._verdict;
    const { decision, basis } = this._verdict;
    if (decision === 'measure' && hasBegun) return false;
    if (decision === 'measure')
      this._endMeasuring = this._drain.admission.beginMeasuring(this._request.service);
    // Other streams show what to expect; this one may still be slower.
    const isUncertain = decision === 'measure' || basis === 'pace';
    this._isMeasuring = isUncertain && isRepeatable(this._request.route) && !hasBegun;
    return true;
  }

  /** Checks the stream that is being measured; the measurement ends with the first result other than `unknown`. */
  measure(): MeasurementResult {
    if (!this.isMeasuring) return 'unknown';
    const result = this._result();
    if (result !== 'unknown') this._finishMeasuring();
    return result;
  }

  /** The request has ended. Returns the log fields that tell on what it was taken, and what was left at its end. */
  onEnded(outcome: RequestOutcome): EndFields {
    this._finishMeasuring();
    this._endDuration(MEASURED_OUTCOMES.has(outcome));
    this.observation?.onEnd(outcome === 'answered' && this._request.lastEventId === '');
    return this._drain.isLeaving ? this._endFields() : {};
  }

  private _endFields(): EndFields {
    const { _taken: taken } = this;
    return {
      takenOn: taken?.basis ?? 'before leaving',
      takenEstimateMilliseconds: taken && Math.round(taken.estimateMilliseconds),
      takenClosesInMilliseconds: taken && Math.round(taken.closesInMilliseconds),
      closesInMilliseconds: Math.round(this._drain.closesInMilliseconds),
      deadlineMilliseconds: Math.round(this._expected().deadlineMilliseconds),
      eventsReceived: this.observation?.events,
    };
  }

  private get _drain(): EntryDrain {
    return this._context.drain;
  }

  private _result(): MeasurementResult {
    const { pace, closesInMilliseconds } = this._drain;
    const expected = this._expected();
    const { pauses = 0, meanPause = 0 } = this.observation ?? {};
    if (pauses < MIN_PAUSES)
      return pace.shortestRest(expected) > closesInMilliseconds ? 'too long' : 'unknown';
    const rest = pace.restAtPace(expected, meanPause);
    if (rest <= closesInMilliseconds) return 'ends in time';
    // The mean of a few pauses varies: the fewer there are, the more it must exceed what is left.
    const isDecided = pauses >= MAX_PAUSES || rest > closesInMilliseconds * (1 + 1 / pauses);
    return isDecided ? 'too long' : 'unknown';
  }

  private _finishMeasuring(): void {
    if (!this._isMeasuring) return;
    this._isMeasuring = false;
    this._endMeasuring();
    if (this.observation && this.observation.pauses >= MIN_PAUSES) this.observation.report();
  }

  private _expected(): ExpectedRequest {
    return expectedRequest(this._request, this._context.clock.now(), this.observation?.events ?? 0);
  }
}
