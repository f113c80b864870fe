/** A caller that follows the rules of docs/CALLERS.md and checks every answer. */
import { randomUUID } from 'node:crypto';
import { pause } from '../src/utils/timers.js';

/** Counts of requests and answers. */
export interface CallerTally {
  sent: number;
  answered: number;
  retried: number;
  /** Requests without a complete answer after all attempts. */
  lost: number;
  /** Answers that belong to another request or customer, or whose content doesn't match the version they name. */
  wrong: number;
  versions: Set<string>;
}

/** Options of a caller. */
export interface CallerOptions {
  customer: string;
  apiKey: string;
  model: string;
  /** Returns the entries to use, in order of preference. */
  entryUrls: () => string[];
  /** A plain service for requests that must not be repeated, or ''. */
  service: string;
}

/** Result of one attempt; `again` asks for a retry. */
type SendResult = 'ok' | 'wrong' | 'again';

const MAX_ATTEMPTS = 40;
const RETRY_MILLISECONDS = 150;
const TIMEOUT_MILLISECONDS = 20_000;

/** Sends one request after the other until {@link Caller.stop}. */
export class Caller {
  readonly tally: CallerTally = { sent: 0, answered: 0, retried: 0, lost: 0, wrong: 0, versions: new Set() };
  /** Idempotency keys of the answered requests that must not be repeated. */
  readonly onceKeys: string[] = [];
  private readonly _options: CallerOptions;
  private _stopped = false;

  constructor(options: CallerOptions) {
    this._options = options;
  }

  stop(): void {
    this._stopped = true;
  }

  async run(): Promise<void> {
    for (let number = 0; !this._stopped; number++) {
      const kind =
        this._options.service !== '' && number % 3 === 0 ? 'once' : number % 2 === 0 ? 'stream' : 'whole';
      await this._request(kind);
    }
  }

  private async _request(kind: 'once' | 'stream' | 'whole'): Promise<void> {
    const content = randomUUID();
    this.tally.sent++;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const urls = this._options.entryUrls();
      const url = urls[attempt % urls.length];
      const result = await this._send(kind, url, content).catch((): SendResult => 'again');
      if (result === 'ok') {
        this.tally.answered++;
        return;
      }
      if (result === 'wrong') {
        this.tally.wrong++;
        return;
      }
      this.tally.retried++;
      await pause(RETRY_MILLISECONDS);
    }
    this.tally.lost++;
  }

  private async _send(kind: 'once' | 'stream' | 'whole', url: string, content: string): Promise<SendResult> {
    return kind === 'once'
      ? await this._sendOnce(url, content)
      : await this._sendChat(url, content, kind === 'stream');
  }

  private async _sendChat(url: string, content: string, stream: boolean): Promise<SendResult> {
    const { model, apiKey, customer } = this._options;
    const body = { model, stream, max_tokens: 6, messages: [{ role: 'user', content }] };
    const answer = await post(`${url}/v1/chat/completions`, apiKey, body, {});
    const text = await answer.text();
    const version = answer.headers.get('larklatch-version') ?? '';
    if (answer.status !== 200) return 'again';
    if (stream && !text.endsWith('data: [DONE]\n\n')) return 'again';
    this.tally.versions.add(version);
    return text.includes(`${customer}/${model}@${version}: ${content}`) ? 'ok' : 'wrong';
  }

  private async _sendOnce(url: string, content: string): Promise<SendResult> {
    const headers = { 'idempotency-key': content, 'larklatch-repeatable': 'no' };
    const answer = await post(
      `${url}/v1/services/${this._options.service}/turns`,
      this._options.apiKey,
      { content },
      headers,
    );
    const text = await answer.text();
    if (answer.status !== 200) return 'again';
    this.onceKeys.push(content);
    const body = JSON.parse(text) as { customer: string; body: { content: string } };
    return body.customer === this._options.customer && body.body.content === content ? 'ok' : 'wrong';
  }
}

async function post(
  url: string,
  apiKey: string,
  body: unknown,
  headers: Record<string, string>,
): Promise<Response> {
  return await fetch(url, {
    method: 'POST',
    headers: { authorization: `Bearer ${apiKey}`, 'content-type': 'application/json', ...headers },
    body: JSON.stringify(body),
    signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
  });
}
