/** Ends a request that a server does not answer, or not in time. */
import type { SuspicionGate } from '../crashes/suspicionGate.js';
import type { AdmittedRequest } from './admittedRequest.js';
import type { CurrentAttempt } from './currentAttempt.js';
import type { FinalAnswer } from './finalAnswer.js';
import type { NoAttemptReason } from './noAttemptReason.js';
import type { RequestAttempts } from './requestAttempts.js';
import type { RequestDrain } from './requestDrain.js';
import type { RequestHandover } from './requestHandover.js';

/** The parts of a request that its end depends on. */
export interface RequestParts {
  final: FinalAnswer;
  current: CurrentAttempt;
  handover: RequestHandover;
  attempts: RequestAttempts;
  suspicionGate: SuspicionGate;
  drain: RequestDrain;
}

export class RequestEnding {
  /** Why no further attempt could be made when one was last needed; undefined during an attempt. */
  noAttempt: NoAttemptReason | undefined;
  /** Whether the request may have run on any server. */
  mayHaveRun = false;
  private readonly _parts: RequestParts;
  private _timeout: NodeJS.Timeout | undefined;

  constructor(parts: RequestParts) {
    this._parts = parts;
  }

  /** Ends the request at its deadline, or when its caller disconnects. Returns false if it has ended already. */
  start({ exchange }: AdmittedRequest): boolean {
    if (exchange.ended) {
      this._callerDisconnected();
      return false;
    }
    exchange.onCallerDisconnect(() => this._callerDisconnected());
    const { remainingMilliseconds } = this._parts.attempts;
    this._timeout = setTimeout(() => this._timeOut(), Math.max(0, remainingMilliseconds));
    return true;
  }

  /** The request has ended. */
  stop(): void {
    clearTimeout(this._timeout);
  }

  /** Ends the request since no server can run it, or continue it. */
  giveUp(reason: NoAttemptReason): void {
    const { final, attempts, suspicionGate, drain } = this._parts;
    const retryAfter = attempts.retryAfter(reason, suspicionGate.shutOutMilliseconds);
    const retryAfterMilliseconds = Math.max(retryAfter, drain.minimumRetryDelay);
    final.giveUp(reason, { mayHaveRun: this.mayHaveRun, retryAfterMilliseconds });
  }

  /** Ends the request since the entry closes its connections. */
  endAtClose(): void {
    if (this._parts.final.ended) return;
    this._abort('time-over');
    this.noAttempt = 'leaving';
    this.giveUp('leaving');
  }

  private _timeOut(): void {
    this._abort('time-over');
    this._parts.final.timeOut(this.mayHaveRun);
  }

  private _callerDisconnected(): void {
    const { final } = this._parts;
    if (final.ended) return;
    this._abort('caller-gone');
    final.callerDisconnected();
  }

  private _abort(reason: 'time-over' | 'caller-gone'): void {
    const { current, handover } = this._parts;
    this.mayHaveRun ||= handover.inProgress || current.call?.sent === true;
    current.abort(reason);
  }
}
