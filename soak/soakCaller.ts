/**
 * A caller that looks up the entries, keeps connections open, sends requests and checks every byte of the answers.
 */
import http from 'node:http';
import type { Random } from '../src/utils/random.js';
import { pause } from '../src/utils/timers.js';
import { STREAM_EVENTS, eventText, sealOf } from '../standins/platformAnswers.js';
import type { Call, CallKind, CallOutcome } from './callerLog.js';
import type { NewestRoute } from './soakFleet.js';
import { CUSTOMERS, HOST } from './soakConfiguration.js';

/** Options of a caller. */
export interface SoakCallerOptions {
  zone: string;
  /** Addresses of the directory endpoints of all entries, host:port. */
  directories: readonly string[];
  random: Random;
  newId: () => string;
  onCall: (call: Call) => void;
  /** Returns the route that only the newest configuration has. */
  newestRoute: () => NewestRoute;
  /** Mean pause between requests, in milliseconds. */
  pauseMilliseconds: number;
}

const DEADLINE_MILLISECONDS = 4_000;
const RESOLVE_MILLISECONDS = 1_000;
const PATHS: Record<Exclude<CallKind, 'newest'>, string> = {
  stream: '/chat/x?stream=1',
  once: '/turns/x',
  repeatable: '/boards/x',
};
const METHODS: Record<CallKind, string> = { stream: 'POST', once: 'POST', repeatable: 'GET', newest: 'GET' };
/** Each kind as often as its weight in the random choice. */
const WEIGHTED_KINDS: readonly CallKind[] = [
  ...Array<CallKind>(5).fill('stream'),
  ...Array<CallKind>(2).fill('once'),
  ...Array<CallKind>(2).fill('repeatable'),
  'newest',
];
/** The first part of the prompts of all streams. */
export const COMMON_PART = 'c0:40';
/** Statuses by which an entry promises that the request has not run. */
export const REFUSAL_STATUSES = new Set([408, 421, 429, 503]);
/** Statuses of invalid requests. Callers of a soak send only valid ones. */
const DENIAL_STATUSES = new Set([400, 401, 403, 404]);
const MAX_ATTEMPTS = 2;
/** Share of requests that the caller aborts before the answer is complete. */
const ABORT_SHARE = 0.02;
const ABORT_MILLISECONDS = 40;

/** The part of an answer that was received. */
interface ReceivedAnswer {
  status: number;
  headers: http.IncomingHttpHeaders;
  body: string;
  outcome: 'whole' | 'cut' | 'never-sent' | 'left';
  onNewConnection: boolean;
}

/** Sends random requests one after the other, each to a random entry. */
export class SoakCaller {
  private readonly _options: SoakCallerOptions;
  private readonly _agent = new http.Agent({ keepAlive: true, maxFreeSockets: 2 });
  private _addresses: string[] = [];
  private _addressesExpireAt = 0;
  private _stopped = false;

  constructor(options: SoakCallerOptions) {
    this._options = options;
  }

  /** Sends requests until {@link SoakCaller.stop}; resolves when the last one has ended. */
  async run(): Promise<void> {
    const { random, pauseMilliseconds } = this._options;
    while (!this._stopped) {
      await this._request(this._pickKind());
      await pause(random.fraction() * 2 * pauseMilliseconds);
    }
    this._agent.destroy();
  }

  stop(): void {
    this._stopped = true;
  }

  private _pickKind(): CallKind {
    const index = this._options.random.integer(WEIGHTED_KINDS.length);
    return WEIGHTED_KINDS[index];
  }

  /** Sends a request and retries it if callers may do so: a `once` request only if it was refused or never sent. */
  private async _request(kind: CallKind): Promise<void> {
    const { random, onCall } = this._options;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const address = await this._pickAddress();
      if (address === undefined) return;
      const call = await this._send(kind, address, random.fraction() < ABORT_SHARE);
      onCall(call);
      if (call.outcome === 'whole' || call.outcome === 'left') return;
      if (call.outcome === 'cut' || call.outcome === 'never-sent') this._removeAddress(address);
      if (kind === 'once' && call.outcome !== 'refused' && call.outcome !== 'never-sent') return;
      await pause(random.integer(100));
    }
  }

  private _removeAddress(address: string): void {
    this._addresses = this._addresses.filter((other) => other !== address);
  }

  private async _pickAddress(): Promise<string | undefined> {
    if (Date.now() > this._addressesExpireAt || this._addresses.length === 0) await this._resolve();
    const { random } = this._options;
    return this._addresses.length === 0 ? undefined : this._addresses[random.integer(this._addresses.length)];
  }

  private async _resolve(): Promise<void> {
    const { directories, random, zone } = this._options;
    for (let attempt = 0; attempt < 3; attempt++) {
      const directory = directories[random.integer(directories.length)];
      const received = await this._get(`http://${directory}/resolve?name=${HOST}&region=r&zone=${zone}`);
      if (received?.status !== 200) continue;
      const answer = JSON.parse(received.body) as { addresses: string[]; ttl_s: number };
      this._addresses = answer.addresses;
      this._addressesExpireAt = Date.now() + answer.ttl_s * 1000;
      return;
    }
    await pause(100);
  }

  private async _get(url: string): Promise<ReceivedAnswer | undefined> {
    return await new Promise((resolve) => {
      const request = http.get(url, { agent: false, timeout: RESOLVE_MILLISECONDS }, (answer) => {
        let body = '';
        answer.on('data', (bytes: Buffer) => (body += bytes.toString()));
        answer.on('end', () =>
          resolve({
            status: answer.statusCode ?? 0,
            headers: answer.headers,
            body,
            outcome: 'whole',
            onNewConnection: true,
          }),
        );
        answer.on('error', () => resolve(undefined));
      });
      request.on('timeout', () => request.destroy());
      request.on('error', () => resolve(undefined));
    });
  }

  private async _send(kind: CallKind, address: string, aborts: boolean): Promise<Call> {
    const { newId, newestRoute } = this._options;
    const id = newId();
    const sentAt = Date.now();
    const newest = newestRoute();
    const path = kind === 'newest' ? `${newest.prefix}x` : PATHS[kind];
    const received = await this._exchange(kind, path, address, id, aborts);
    const isStillNewest = kind === 'newest' && newestRoute().prefix === newest.prefix;
    const configuredAt = isStillNewest ? newest.since : undefined;
    const answerError = this._findAnswerError(kind, id, received);
    const outcome = outcomeOf(received, answerError);
    const { status, onNewConnection } = received;
    const endedAt = Date.now();
    return {
      id,
      kind,
      entry: address,
      sentAt,
      endedAt,
      outcome,
      status,
      configuredAt,
      onNewConnection,
      answerError,
    };
  }

  private async _exchange(
    kind: CallKind,
    path: string,
    address: string,
    id: string,
    aborts: boolean,
  ): Promise<ReceivedAnswer> {
    const { random } = this._options;
    const customer = CUSTOMERS[random.integer(CUSTOMERS.length)];
    const [host, port] = address.split(':');
    return await new Promise((resolve) => {
      const received: ReceivedAnswer = {
        status: 0,
        headers: {},
        body: '',
        outcome: 'never-sent',
        onNewConnection: true,
      };
      const timer = setTimeout(() => request.destroy(new Error('deadline')), DEADLINE_MILLISECONDS + 500);
      const finish = (outcome: ReceivedAnswer['outcome']): void => {
        clearTimeout(timer);
        resolve({ ...received, outcome, onNewConnection: !request.reusedSocket });
      };
      const headers: http.OutgoingHttpHeaders = {
        host: HOST,
        'x-attempt-id': id,
        'x-deadline-ms': String(DEADLINE_MILLISECONDS),
        authorization: `Bearer ${customer.api_keys[0]}`,
        'x-tenant': 'forged',
      };
      if (kind === 'stream')
        Object.assign(headers, { 'x-model': 'm0', 'x-prefix-hash': `${COMMON_PART},1:50` });
      const method = METHODS[kind];
      const request = http.request({ host, port, method, path, headers, agent: this._agent }, (answer) => {
        received.status = answer.statusCode ?? 0;
        received.headers = answer.headers;
        answer.on('data', (bytes: Buffer) => (received.body += bytes.toString()));
        answer.on('end', () => finish('whole'));
        answer.on('error', () => finish(aborts ? 'left' : 'cut'));
      });
      request.on('error', (error: NodeJS.ErrnoException) => {
        if (aborts) return finish('left');
        const neverSent = error.code === 'ECONNREFUSED' && received.status === 0;
        finish(neverSent ? 'never-sent' : 'cut');
      });
      if (aborts) setTimeout(() => request.destroy(), ABORT_MILLISECONDS);
      request.end(kind === 'stream' ? '{"prompt":"hello"}' : undefined);
    });
  }

  /** Describes a violation that the answer shows, or returns undefined. */
  private _findAnswerError(kind: CallKind, id: string, answer: ReceivedAnswer): string | undefined {
    if (answer.status === 0 || answer.outcome === 'left') return undefined;
    return headerError(kind, id, answer) ?? (answer.status === 200 ? bodyError(kind, id, answer) : undefined);
  }
}

function headerError(kind: CallKind, id: string, { status, headers }: ReceivedAnswer): string | undefined {
  const answered = headers['x-attempt-id'] ?? id;
  if (answered !== id) return `answer of ${String(answered)}`;
  const isSuccess = status >= 200 && status < 300;
  if (isSuccess && headers['x-server-seal'] !== sealOf(id)) return `seal ${headers['x-server-seal']}`;
  // An entry may not have the newest configuration yet; PromiseChecks decides whether it should have.
  const mayBeDenied = kind === 'newest' && status === 404;
  return DENIAL_STATUSES.has(status) && !mayBeDenied ? `denied with ${status}` : undefined;
}

function bodyError(kind: CallKind, id: string, { body, outcome }: ReceivedAnswer): string | undefined {
  const expected = kind === 'stream' ? streamText(id) : `answer of ${id}`;
  const isWhole = outcome === 'whole';
  const fits = isWhole ? body === expected : expected.startsWith(body);
  return fits ? undefined : `${isWhole ? 'whole' : 'part'}: ${JSON.stringify(body.slice(-120))}`;
}

function streamText(id: string): string {
  return Array.from({ length: STREAM_EVENTS }, (_unused, index) => eventText(id, index + 1)).join('');
}

function outcomeOf(received: ReceivedAnswer, answerError: string | undefined): CallOutcome {
  if (received.outcome !== 'whole') return received.outcome;
  if (REFUSAL_STATUSES.has(received.status)) return 'refused';
  return received.status === 200 && answerError === undefined ? 'whole' : 'failed';
}

/** Sends a streaming request that crashes the server, and ignores the answer. */
export function sendCrashingRequest(address: string, id: string, body: string, promptParts = ''): void {
  const [host, port] = address.split(':');
  const headers = {
    host: HOST,
    'x-attempt-id': id,
    'x-deadline-ms': String(DEADLINE_MILLISECONDS),
    authorization: `Bearer ${CUSTOMERS[0].api_keys[0]}`,
    'x-model': 'm0',
    ...(promptParts === '' ? {} : { 'x-prefix-hash': promptParts }),
  };
  const options = { host, port, method: METHODS.stream, path: PATHS.stream, headers, agent: false };
  const request = http.request(options, (answer) => answer.on('error', () => undefined).resume());
  request.on('error', () => undefined);
  request.end(body);
}
