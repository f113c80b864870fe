/** Stand-in for the object API: global revisions, conditional writes, long-polling watches, rate limits and outages. */
import { pause } from '../src/utils/timers.js';
import { StandinServer, sendJsonAnswer } from './standinServer.js';
import type { StandinRequest } from './standinServer.js';

/** Faults that can be injected. */
export interface ObjectApiFaults {
  /** `down` closes the connection of every call without an answer. */
  availability: 'up' | 'down';
  /** Delay added to each call. */
  slowMilliseconds: number;
  /** Number of writes, from the next one on, that are executed but whose connection is closed without an answer. */
  loseWriteAnswers: number;
}

interface StoredObject {
  revision: number;
  value: unknown;
}

interface Change {
  key: string;
  revision: number;
  value: unknown;
  deleted: boolean;
}

const WRITES_PER_SECOND = 100;
const READS_PER_SECOND = 2_000;
const MAX_CHANGES = 1_000;
const MAX_VALUE_BYTES = 1_000_000;

/** Stores objects in memory. */
export class ObjectApiStandin extends StandinServer<ObjectApiFaults> {
  private readonly _objects = new Map<string, StoredObject>();
  private readonly _changes: Change[] = [];
  private _revision = 0;
  private _watchers = new Set<() => void>();
  private _second = 0;
  private _writesThisSecond = 0;
  private _readsThisSecond = 0;
  private readonly _counts = { reads: 0, writes: 0, limited: 0, watching: 0 };

  constructor() {
    super({ availability: 'up', slowMilliseconds: 0, loseWriteAnswers: 0 });
  }

  protected override async handle(request: StandinRequest): Promise<void> {
    if (request.url.pathname === '/_counts') return sendJsonAnswer(request.response, 200, this._counts);
    if (this.faults.slowMilliseconds > 0) await pause(this.faults.slowMilliseconds);
    if (this.faults.availability === 'down') {
      request.response.destroy();
      return;
    }
    if (this._isOverLimit(request.method !== 'GET'))
      return sendJsonAnswer(request.response, 429, { error: 'limit' });
    await this._route(request);
  }

  private async _route(request: StandinRequest): Promise<void> {
    const { url, method, response } = request;
    if (url.pathname === '/changes') return await this._watch(request);
    if (url.pathname === '/objects') return sendJsonAnswer(response, 200, this._listing());
    const key = url.pathname.slice('/objects/'.length);
    if (method === 'GET') return this._get(key, request);
    this._write(key, request);
  }

  private _isOverLimit(isWrite: boolean): boolean {
    const second = Math.floor(performance.now() / 1000);
    if (second !== this._second) {
      this._second = second;
      this._writesThisSecond = 0;
      this._readsThisSecond = 0;
    }
    this._counts[isWrite ? 'writes' : 'reads']++;
    const over = isWrite
      ? ++this._writesThisSecond > WRITES_PER_SECOND
      : ++this._readsThisSecond > READS_PER_SECOND - this._counts.watching;
    if (over) this._counts.limited++;
    return over;
  }

  private _get(key: string, { response }: StandinRequest): void {
    const object = this._objects.get(key);
    if (object) sendJsonAnswer(response, 200, { key, ...object });
    else sendJsonAnswer(response, 404, { error: 'no such object' });
  }

  private _listing(): unknown {
    const objects = [...this._objects].map(([key, object]) => ({ key, ...object }));
    return { revision: this._revision, objects };
  }

  private _write(key: string, { method, headers, body, response }: StandinRequest): void {
    const current = this._objects.get(key)?.revision ?? 0;
    if (Number(headers['if-match']) !== current) return sendJsonAnswer(response, 412, { revision: current });
    const value = method === 'DELETE' ? null : (body as { value: unknown }).value;
    if (JSON.stringify(value).length > MAX_VALUE_BYTES)
      return sendJsonAnswer(response, 413, { error: 'too large' });
    this._apply(key, value, method === 'DELETE');
    if (this.faults.loseWriteAnswers > 0) {
      this.faults.loseWriteAnswers--;
      response.destroy();
      return;
    }
    sendJsonAnswer(response, 200, { revision: this._revision });
  }

  private _apply(key: string, value: unknown, deleted: boolean): void {
    const revision = ++this._revision;
    if (deleted) this._objects.delete(key);
    else this._objects.set(key, { revision, value });
    this._changes.push({ key, revision, value, deleted });
    if (this._changes.length > MAX_CHANGES) this._changes.shift();
    for (const resume of this._watchers) resume();
  }

  private async _watch({ url, response }: StandinRequest): Promise<void> {
    const after = Number(url.searchParams.get('after'));
    const until = performance.now() + Number(url.searchParams.get('wait'));
    this._counts.watching++;
    while (this._revision <= after && performance.now() < until && !response.destroyed) {
      await this._waitForChange(until - performance.now());
    }
    this._counts.watching--;
    if (this.faults.availability === 'down') {
      response.destroy();
      return;
    }
    const changes = this._changes.filter((change) => change.revision > after);
    const truncated = after > this._revision || (this._changes[0]?.revision ?? 1) > after + 1;
    sendJsonAnswer(response, 200, { revision: this._revision, changes, truncated });
  }

  private async _waitForChange(milliseconds: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const resume = (): void => {
        clearTimeout(timer);
        this._watchers.delete(resume);
        resolve();
      };
      const timer = setTimeout(resume, Math.min(milliseconds, 1_000));
      this._watchers.add(resume);
    });
  }
}
