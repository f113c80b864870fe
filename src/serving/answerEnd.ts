/** Tells whether an answer that has ended is whole. */
import type { ServerExitChecker } from '../crashes/serverExitChecker.js';
import type { Framing } from '../utils/answerHead.js';
import { AnswerWitness } from '../utils/answerWitness.js';
import type { Clock } from '../utils/clock.js';
import type { ProcessState } from '../utils/connectProbe.js';
import { settledState } from '../utils/connectProbe.js';
import { splitAddress } from '../utils/hostPort.js';
import type { AnswerReceiver } from './answerReceiver.js';
import type { BackendCallListener, CallFailure } from './backendCall.js';
import type { CallerExchange } from './callerExchange.js';
import type { CurrentAttempt } from './currentAttempt.js';
import type { TrackedServer } from './trackedServer.js';
import type { UnframedServices } from './unframedServices.js';

export interface AnswerEndContext {
  /** Tells whether the process of a server runs. */
  suspicions: { exitChecker: Pick<ServerExitChecker, 'processState'> };
  clock: Clock;
  unframed: UnframedServices;
}

/** How the end of the last answer was determined; logged under these names. */
export interface AnswerEndFields {
  /** Undefined without an answer that has a body. */
  framing: Framing | undefined;
  /** Undefined if the server's process was not checked. */
  processState: ProcessState | undefined;
}

/** Receives what is known of an answer that has ended. */
export interface AnswerEndListener {
  /** Whether the request has ended in the meantime. */
  isOver(): boolean;
  onWhole(): void;
  onBrokenOff(failure: CallFailure): void;
}

const BROKEN_OFF: Record<Exclude<ProcessState, 'running'>, CallFailure> = {
  exited: { sent: true, reason: 'server exited as its answer ended', brokeOff: true },
  unknown: { sent: true, reason: 'server may have exited as its answer ended' },
};

export class AnswerEnd {
  private readonly _receiver: AnswerReceiver;
  private readonly _current: CurrentAttempt;
  private readonly _context: AnswerEndContext;
  private _witness: AnswerWitness | undefined;
  /** The server of the witness. */
  private _witnessed: TrackedServer | undefined;
  private _processState: ProcessState | undefined;

  constructor(
    receiver: AnswerReceiver,
    current: CurrentAttempt,
    context: AnswerEndContext,
    exchange: Pick<CallerExchange, 'onceClosed'>,
  ) {
    this._receiver = receiver;
    this._current = current;
    this._context = context;
    exchange.onceClosed(() => this._witness?.close());
  }

  get fields(): AnswerEndFields {
    return { framing: this._receiver.framing, processState: this._processState };
  }

  /**
   * Follows the answer of `server`, to which the request is sent next, on its way to `listener`. A witness that begins
   * with the head comes too late for a process that has been replaced by then, so that it begins before the request if
   * servers of the service send such answers.
   */
  follow(server: TrackedServer, listener: BackendCallListener): BackendCallListener {
    // During a handover the witness is still that of the first server.
    if (!this._current.call) {
      this._setWitness(undefined);
      if (this._context.unframed.has(server.record.service)) this._setWitness(server);
    }
    return {
      ...listener,
      onHead: (status, headers) => {
        listener.onHead(status, headers);
        this._onFraming(server);
      },
      onData: (bytes) => {
        this._witness?.noteData();
        listener.onData(bytes);
      },
    };
  }

  /**
   * Judges the answer of `server`, whose HTTP client has reported its end. An answer with a length or chunks is whole
   * then. The end of the connection says less: the system also closes the connections of a crashed process in order, so
   * the verdict needs a check that the process still runs.
   */
  judge(server: TrackedServer, listener: AnswerEndListener): void {
    const { brokenOff, endsWithConnection } = this._receiver;
    this._processState = undefined;
    this._current.clear(server);
    if (brokenOff) listener.onBrokenOff(brokenOff);
    else if (endsWithConnection) void this._confirm(server, listener);
    else listener.onWhole();
  }

  private async _confirm(server: TrackedServer, listener: AnswerEndListener): Promise<void> {
    const { answer } = this._receiver;
    const { exitChecker } = this._context.suspicions;
    const check = (): Promise<ProcessState> => exitChecker.processState(server.record);
    const state = await (this._witness?.processState(check) ?? settledState(check));
    this._processState = state;
    // A handover may have gone on with the stream, and may have failed since.
    if (listener.isOver() || this._current.call || this._receiver.answer !== answer) return;
    if (state === 'running') return listener.onWhole();
    listener.onBrokenOff(BROKEN_OFF[state]);
  }

  private _onFraming(server: TrackedServer): void {
    const isNeeded = this._receiver.endsWithConnection;
    if (isNeeded) this._context.unframed.note(server.record.service);
    this._setWitness(isNeeded ? server : undefined);
  }

  /** Watches the process of `server`, or none. */
  private _setWitness(server: TrackedServer | undefined): void {
    if (server === this._witnessed) return;
    this._witness?.close();
    this._witnessed = server;
    this._witness = server && new AnswerWitness(...splitAddress(server.record.address), this._context.clock);
  }
}
