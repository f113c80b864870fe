import { EventEmitter, setMaxListeners } from 'node:events';
import { createActor } from 'xstate';
import type { Box } from '../external/boxList.js';
import type { ControlOptions } from '../protocol/controlConnection.js';
import { ControlConnection } from '../protocol/controlConnection.js';
import type { CallMessage } from '../protocol/controlConnection.js';
import type { LoadMessage, ReportMessage } from '../protocol/reportMessages.js';
import type { Member, ReplyMessage } from '../protocol/rolloutMessages.js';
import type { Logger } from '../telemetry/logger.js';
import { Backoff } from '../utils/backoff.js';
import type { Clock } from '../utils/clock.js';
import type { Random } from '../utils/random.js';
import { StepError, errorText } from '../utils/stepError.js';
import { pause } from '../utils/timers.js';
import { linkMachine } from './linkMachine.js';

interface AgentLinkEvents {
  /** The state of the link or the report changed. */
  change: [];
  /** Only the load changed. */
  load: [];
}

/** Dependencies that all agent links of an entry share. */
export interface LinkServices {
  control: ControlOptions;
  clock: Clock;
  random: Random;
  logger: Logger;
}

/** An order without its call number, which the connection adds. */
type Order = CallMessage extends infer Call ? (Call extends unknown ? Omit<Call, 'call'> : never) : never;

const RECONNECT_BACKOFF = { firstMilliseconds: 50, longestMilliseconds: 1_000 };

/**
 * An entry's connection to one agent, and the latest report of that agent. Reconnects until closed. A link
 * without a connection keeps the last report, but is not live.
 */
export class AgentLink extends EventEmitter<AgentLinkEvents> {
  readonly box: Box;
  report: ReportMessage | undefined;
  /** Monotonic time at which the report or the last load update arrived, in milliseconds. */
  reportedAt = 0;
  private readonly _services: LinkServices;
  private readonly _machine = createActor(linkMachine).start();
  private readonly _stopped = new AbortController();
  private _connection: ControlConnection | undefined;
  private _lost = createUnlimitedController();
  private _lostAt: number;

  constructor(box: Box, services: LinkServices) {
    super();
    this.box = box;
    this._services = services;
    this._lostAt = services.clock.now();
    void this._run();
  }

  /** Whether the agent accepts new requests. */
  get live(): boolean {
    return this._machine.getSnapshot().matches('live') && this.report !== undefined;
  }

  get connected(): boolean {
    return this._connection !== undefined;
  }

  /** Milliseconds since the connection was lost; 0 while connected. */
  get lostFor(): number {
    return this._connection ? 0 : this._services.clock.now() - this._lostAt;
  }

  /** Aborted when the current connection is lost, since requests that are not yet answered may never be answered. */
  get lostSignal(): AbortSignal {
    return this._lost.signal;
  }

  get member(): Member {
    const { box, dataCentre, address, httpPort, controlPort } = this.box;
    return { box, dataCentre, address, httpPort, controlPort };
  }

  /** Sends an order and waits for the reply. Throws a StepError if there is none. */
  async order(order: Order): Promise<ReplyMessage> {
    if (!this._connection)
      throw new StepError(`order.${order.type}`, 'not connected', { peer: this.box.box });
    return await this._connection.call(order);
  }

  close(): void {
    this._stopped.abort();
    this._connection?.close('no longer wanted');
    this.removeAllListeners();
  }

  private async _run(): Promise<void> {
    const backoff = new Backoff(RECONNECT_BACKOFF, this._services.random);
    const { address, controlPort } = this.box;
    while (!this._stopped.signal.aborted) {
      try {
        const connection = await ControlConnection.connect(address, controlPort, this._services.control);
        backoff.reset();
        await this._serve(connection);
      } catch (error) {
        this._services.logger.decision('agent.redial', { peer: this.box.box, reason: errorText(error) });
      }
      await pause(backoff.nextWait(), this._stopped.signal);
    }
  }

  /** Uses a connection until it closes. */
  private async _serve(connection: ControlConnection): Promise<void> {
    if (this._stopped.signal.aborted) {
      connection.close('no longer wanted');
      return;
    }
    this._connection = connection;
    this._lost = createUnlimitedController();
    this._machine.send({ type: 'CONNECTED' });
    const closed = new Promise<string>((resolve) => connection.once('close', resolve));
    connection.on('message', (message) => {
      if (message.type === 'report') this._onReport(message);
      else if (message.type === 'load') this._onLoad(message);
    });
    connection.start();
    connection.send({ type: 'subscribe' });
    const reason = await closed;
    this._onLost(reason);
  }

  private _onReport(report: ReportMessage): void {
    const isFirst = this.report === undefined;
    this.report = report;
    this.reportedAt = this._services.clock.now();
    if (isFirst)
      this._services.logger.state('agent.live', { peer: this.box.box, incarnation: report.incarnation });
    if (report.leaving && this._machine.getSnapshot().matches('live')) {
      this._machine.send({ type: 'LEAVING' });
      this._services.logger.state('agent.leaving', { peer: this.box.box });
    }
    this.emit('change');
  }

  private _onLoad({ inFlight, queued }: LoadMessage): void {
    if (!this.report) return;
    this.report = { ...this.report, inFlight, queued };
    this.reportedAt = this._services.clock.now();
    this.emit('load');
  }

  private _onLost(reason: string): void {
    this._connection = undefined;
    this._lost.abort();
    this._lostAt = this._services.clock.now();
    this._machine.send({ type: 'LOST' });
    this._services.logger.state('agent.lost', { peer: this.box.box, reason });
    this.emit('change');
  }
}

/** Creates a controller without a limit on listeners, since any number of requests may wait on one link. */
function createUnlimitedController(): AbortController {
  const controller = new AbortController();
  setMaxListeners(0, controller.signal);
  return controller;
}
