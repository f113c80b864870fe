/** Sends requests that crash the servers which run them, to randomly chosen entries. */
import type { Random } from '../src/utils/random.js';
import { pause } from '../src/utils/timers.js';
import { CRASH_BODY, CRASH_PART, partHarmfulFrom } from '../standins/platformRunnerHarm.js';
import { COMMON_PART, sendCrashingRequest } from './soakCaller.js';

export interface HarmfulRequestsOptions {
  /** Addresses of the entries for callers, host:port. */
  entries: () => readonly string[];
  random: Random;
  onSending: (id: string) => void;
}

const REQUESTS = 80;
const INTERVAL_MILLISECONDS = 120;
/** Time for which a part is harmless before it turns harmful. */
const MIN_HARMLESS_MILLISECONDS = 1_000;
const HARMLESS_SPREAD_MILLISECONDS = 3_000;

export class HarmfulRequests {
  private readonly _options: HarmfulRequestsOptions;
  private _rounds = 0;

  constructor(options: HarmfulRequestsOptions) {
    this._options = options;
  }

  /** Sends the same request again and again, under new ids. */
  async sendRepeated(): Promise<void> {
    const round = this._rounds++;
    await this._send(`crashing-${round}`, () => ({ body: `${CRASH_BODY} ${round}"}`, promptParts: '' }));
  }

  /** Sends requests that share only a part of their prompts, which is harmful. */
  async sendWithHarmfulPart(): Promise<void> {
    const round = this._rounds++;
    await this._sendWithPart(round, `${CRASH_PART}${round}:300`);
  }

  /** The same with a part that is harmless at first. */
  async sendWithPartTurningHarmful(): Promise<void> {
    const round = this._rounds++;
    const harmlessFor =
      MIN_HARMLESS_MILLISECONDS + this._options.random.integer(HARMLESS_SPREAD_MILLISECONDS);
    const part = partHarmfulFrom(Date.now() + harmlessFor, round.toString(16));
    await this._sendWithPart(round, `${part}:300`);
  }

  private async _sendWithPart(round: number, part: string): Promise<void> {
    const beginnings = [`${COMMON_PART},${part}`, `${part},${COMMON_PART}`, part];
    await this._send(`harmful-${round}`, (sent) => {
      const own = `${(sent + 1).toString(16)}:50`;
      return { body: `{"prompt":"${round} ${sent}"}`, promptParts: `${this._pick(beginnings)},${own}` };
    });
  }

  private async _send(
    name: string,
    contentsOf: (sent: number) => { body: string; promptParts: string },
  ): Promise<void> {
    const { entries, onSending } = this._options;
    for (let sent = 0; sent < REQUESTS; sent++) {
      const id = `${name}-${sent}`;
      onSending(id);
      const { body, promptParts } = contentsOf(sent);
      sendCrashingRequest(this._pick(entries()), id, body, promptParts);
      await pause(INTERVAL_MILLISECONDS);
    }
  }

  private _pick<T>(items: readonly T[]): T {
    return items[this._options.random.integer(items.length)];
  }
}
