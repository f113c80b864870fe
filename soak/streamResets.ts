/**
 * Has servers send streams in all forms and reset many of them midway, while servers are killed amid their streams and
 * start again at once, at the same address.
 */
import http from 'node:http';
import type { Random } from '../src/utils/random.js';
import { pause } from '../src/utils/timers.js';
import type { PromiseChecks } from './promiseChecks.js';
import { CUSTOMERS, HOST, PLAIN_SERVICE, RESUMABLE_PATH, UNRESUMABLE_PATH } from './soakConfiguration.js';
import type { SoakBox, SoakFleet } from './soakFleet.js';
import type { StreamChecks } from './streamChecks.js';
import { CALLER_PROTOCOLS, readStream } from './streamReader.js';

export interface StreamResetsOptions {
  fleet: SoakFleet;
  checks: PromiseChecks;
  streams: StreamChecks;
  random: Random;
  /** Whether a box must not start its server again. */
  isDraining: (box: SoakBox) => boolean;
}

const RESET_SHARE = 0.4;
/** Share of killed servers whose connections are reset. The system closes those of the others in order. */
const RESET_KILL_SHARE = 0.5;
const MAX_EVENTS = 20;
const REQUEST_INTERVAL_MILLISECONDS = 25;
/** Maximum time between two kills. */
const MAX_KILL_INTERVAL_MILLISECONDS = 500;
const DEADLINE_MILLISECONDS = 2_500;
const PATHS = [RESUMABLE_PATH, UNRESUMABLE_PATH];

export class StreamResets {
  private readonly _options: StreamResetsOptions;
  private _count = 0;
  /** Number of calls that are running; servers behave as long as there are any. */
  private _running = 0;

  constructor(options: StreamResetsOptions) {
    this._options = options;
  }

  /** Sends streams for this long; resolves when all of them have ended. */
  async run(milliseconds: number): Promise<void> {
    const until = Date.now() + milliseconds;
    this._running++;
    this._setResetShare(RESET_SHARE);
    try {
      await Promise.all([this._killServers(until), this._sendStreams(until)]);
    } finally {
      if (--this._running === 0) this._setResetShare(undefined);
    }
  }

  private _setResetShare(streamResetShare: number | undefined): void {
    for (const { runner } of this._options.fleet.boxes)
      runner.faults = { ...runner.faults, streamResetShare };
  }

  /** Kills servers without a model, which need nothing but their start to serve again. */
  private async _killServers(until: number): Promise<void> {
    const { fleet, random, isDraining } = this._options;
    while (Date.now() < until) {
      await pause(random.integer(MAX_KILL_INTERVAL_MILLISECONDS));
      const box = this._pick(fleet.boxes.filter(({ service }) => service === PLAIN_SERVICE));
      if (isDraining(box) || !box.runner.isListening) continue;
      if (random.fraction() < RESET_KILL_SHARE) await fleet.killRunner(box);
      else await fleet.restartRunner(box, true);
      this._setResetShare(RESET_SHARE);
    }
  }

  private async _sendStreams(until: number): Promise<void> {
    const agent = new http.Agent({ keepAlive: true });
    const streams: Promise<void>[] = [];
    while (Date.now() < until) {
      streams.push(this._sendStream(agent));
      await pause(REQUEST_INTERVAL_MILLISECONDS);
    }
    await Promise.all(streams);
    agent.destroy();
  }

  private async _sendStream(agent: http.Agent): Promise<void> {
    const { fleet, checks, streams, random } = this._options;
    const id = `stream-${this._count++}`;
    checks.onSending(id);
    const events = 1 + random.integer(MAX_EVENTS);
    const entry = fleet.callerAddress(this._pick(fleet.entries));
    const headers = {
      host: HOST,
      'x-attempt-id': id,
      'x-deadline-ms': String(DEADLINE_MILLISECONDS),
      authorization: `Bearer ${CUSTOMERS[0].api_keys[0]}`,
    };
    const path = `${this._pick(PATHS)}x?stream=1&events=${events}`;
    // Each body differs, since a body that is common to requests of killed servers is taken for harmful.
    const body = `{"prompt":"${id}"}`;
    const request = { entry, path, headers, body, protocol: this._pick(CALLER_PROTOCOLS) };
    streams.onEnded({ id, entry, events, ...(await readStream(request, agent)) });
  }

  private _pick<T>(items: readonly T[]): T {
    return items[this._options.random.integer(items.length)];
  }
}
