/** Shows whether the process that sends an answer may have exited, although its address still answers. */
import net from 'node:net';
import { setImmediate as endOfPoll } from 'node:timers/promises';
import type { Clock } from './clock.js';
import type { ProcessState } from './connectProbe.js';
import { settledState } from './connectProbe.js';
import { pause } from './timers.js';

/** What a process has sent before it exited arrives within this time of the end of its other connections. */
const SETTLE_MILLISECONDS = 1_000;
/** The system closes the connections of a process that exits one by one, all of them and its port within this time. */
const EXIT_MILLISECONDS = 50;

/**
 * A connection that is kept open during an answer that ends with its connection. When a process exits, the system closes
 * all its connections, whoever listens at its address afterwards: a supervisor's next process, or a standby.
 */
export class AnswerWitness {
  private readonly _socket: net.Socket;
  private readonly _clock: Clock;
  /** Monotonic milliseconds at which the connection ended; undefined while it has not. */
  private _lostAt: number | undefined;

  constructor(host: string, port: number, clock: Clock) {
    this._clock = clock;
    this._socket = net.connect({ host, port });
    const onLost = (): void => void (this._lostAt ??= clock.now());
    // The system closes the connections of a process that exits in order. A server that takes no more connections resets
    // them, or refuses them: then there is no witness, and the check decides alone.
    this._socket
      .on('end', onLost)
      .on('error', () => undefined)
      .resume();
  }

  /** More of the answer has arrived: a process that only closed the connection has not exited. */
  noteData(): void {
    if (this._lostAt === undefined || this._clock.now() - this._lostAt < SETTLE_MILLISECONDS) return;
    this._lostAt = undefined;
    this.close();
  }

  /**
   * The state of the process after the answer has ended. `check` tells whether a process answers at the address; one that
   * has taken the address over does so only after this connection has ended.
   */
  async processState(check: () => Promise<ProcessState>): Promise<ProcessState> {
    const state = await settledState(check);
    const outlives = state === 'running' && (await this._outlivesExit());
    this.close();
    return state === 'running' && !outlives ? 'unknown' : state;
  }

  close(): void {
    this._socket.removeAllListeners('end').destroy();
  }

  /** Whether the connection stays open for as long as a process takes to exit. */
  private async _outlivesExit(): Promise<boolean> {
    await pause(EXIT_MILLISECONDS);
    // Timers come before what has arrived while this process was paused.
    await endOfPoll();
    return this._lostAt === undefined;
  }
}
