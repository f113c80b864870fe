/** Crowds of clients that stop short or read nothing, at one entry, beside the ordinary callers. */
import net from 'node:net';
import type { Socket } from 'node:net';
import type { Random } from '../src/utils/random.js';
import { splitAddress } from '../src/utils/hostPort.js';
import { pause } from '../src/utils/timers.js';
import type { CrowdChecks } from './crowdChecks.js';
import type { CrowdShape } from './crowdShapes.js';
import { CROWD_SHAPES, partsOf, readsAnswers } from './crowdShapes.js';
import type { PromiseChecks } from './promiseChecks.js';
import type { SoakFleet } from './soakFleet.js';

export interface ClientCrowdsOptions {
  fleet: SoakFleet;
  checks: PromiseChecks;
  crowds: CrowdChecks;
  random: Random;
}

const CLIENTS = 60;
/** One client of this many completes its request. */
const CLIENTS_PER_COMPLETE_ONE = 15;
/** Time that a crowd has to send, before the time for which it stays. */
const SENDING_MILLISECONDS = 2_500;

export class ClientCrowds {
  private readonly _options: ClientCrowdsOptions;
  /** Position in the shapes; the first one is random. */
  private _crowds: number | undefined;
  private _requests = 0;

  constructor(options: ClientCrowdsOptions) {
    this._options = options;
  }

  /** Sends the next kind of crowd to an entry; its connections stay open this long after the time to send. */
  async run(milliseconds: number): Promise<void> {
    const { fleet, crowds, random } = this._options;
    this._crowds = (this._crowds ?? random.integer(CROWD_SHAPES.length)) + 1;
    const shape = CROWD_SHAPES[this._crowds % CROWD_SHAPES.length];
    const entry = fleet.callerAddress(fleet.entries[random.integer(fleet.entries.length)]);
    const endCrowd = crowds.onCrowd(shape, entry);
    const sockets = Array.from({ length: CLIENTS }, () => connect(entry, shape));
    for (const [index, socket] of sockets.entries())
      void this._send(socket, shape, index % CLIENTS_PER_COMPLETE_ONE === 0);
    await pause(SENDING_MILLISECONDS + milliseconds);
    endCrowd();
    for (const socket of sockets) socket.destroy();
  }

  /** Sends all parts, and then nothing more. */
  private async _send(socket: Socket, shape: CrowdShape, completes: boolean): Promise<void> {
    for (const part of partsOf(shape, completes, () => this._newId())) {
      if (socket.destroyed) return;
      if (!socket.write(part)) await drained(socket);
    }
  }

  private _newId(): string {
    const id = `crowd-${this._requests++}`;
    this._options.checks.onSending(id);
    return id;
  }
}

function connect(entry: string, shape: CrowdShape): Socket {
  const [host, port] = splitAddress(entry);
  const socket = net.connect({ host, port });
  socket.on('error', () => undefined);
  if (readsAnswers(shape)) socket.resume();
  return socket;
}

/** Resolves when a socket takes more, or has been closed. */
async function drained(socket: Socket): Promise<void> {
  await new Promise<void>((resolve) => {
    socket.once('drain', resolve);
    socket.once('close', resolve);
  });
}
