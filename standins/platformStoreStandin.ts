/** Stand-in for the platform's metadata store: objects by kind and name, paged lists, watches, conditional writes. */
import type http from 'node:http';
import { z } from 'zod';
import { StandinServer, sendJsonAnswer } from './standinServer.js';
import type { StandinRequest } from './standinServer.js';

/** Faults that can be injected. */
export interface PlatformStoreFaults {
  /** Answers every call with this status. */
  status?: number;
  /** Never answers. */
  silent?: boolean;
  /** Answers with a body that is not JSON. */
  invalidJson?: boolean;
  /**
   * Does not answer writes. Executes every second one immediately, and the others after this time if the object's
   * revision still matches.
   */
  lateWritesMilliseconds?: number;
}

/** An object, or the tombstone of a deleted one (`gone`). */
export interface StandinObject {
  kind: string;
  name: string;
  revision: number;
  spec: unknown;
  gone: boolean;
}

/** The objects and the revision of the store at one time, to which it can be rolled back. */
export interface StoreSnapshot {
  revision: number;
  objects: readonly StandinObject[];
}

const ERA_HEADER = 'store-era';
const writtenSchema = z.object({
  metadata: z.object({ name: z.string().default(''), revision: z.number().default(0) }).prefault({}),
  spec: z.unknown().optional(),
});
const PAGE_SIZE = 2;
const KIND_PATH = /^\/objects\/([^/]+)$/;
const OBJECT_PATH = /^\/objects\/([^/]+)\/([^/]+)$/;

export class PlatformStoreStandin extends StandinServer<PlatformStoreFaults> {
  /** Called with each call (`METHOD path?query`) before it is answered. */
  onCall: (call: string) => void = () => undefined;
  /** If set, the answer to each list and watch. */
  answer: unknown;
  /** Generation of the store; increases with each rollback. */
  era = 0;
  /** If set, sent in the `store-era` header instead of `era`; the header is omitted if this is empty. */
  eraHeader: string | undefined;
  /** All calls so far, as `METHOD path?query`. */
  readonly calls: string[] = [];
  private readonly _objects: StandinObject[] = [];
  private readonly _watchers = new Set<() => void>();
  private _revision = 0;
  private _unansweredWrites = 0;
  private _droppedUpTo = 0;

  constructor() {
    super({});
  }

  /** Creates or replaces an object. */
  put(kind: string, name: string, spec: unknown): void {
    this._change({ kind, name, spec, gone: false });
  }

  remove(kind: string, name: string): void {
    this._change({ kind, name, spec: null, gone: true });
  }

  /** Returns a snapshot for a later rollback. */
  snapshot(): StoreSnapshot {
    return { revision: this._revision, objects: [...this._objects] };
  }

  /**
   * Rolls back to an older snapshot: later writes are lost, and their revisions are assigned again. Closes all
   * connections.
   */
  rollBackTo({ revision, objects }: StoreSnapshot, { keepsConnections = false } = {}): void {
    this.era++;
    this._objects.splice(0, this._objects.length, ...objects);
    this._revision = revision;
    this._droppedUpTo = Math.min(this._droppedUpTo, revision);
    if (!keepsConnections) this.cutConnections();
  }

  /** Leaves the current watches without an answer, as after a network failure. */
  abandonWatches(): void {
    this._watchers.clear();
  }

  /** Drops all changes so far, so that watches from an earlier revision are answered with 410. */
  dropHistory(): void {
    this._droppedUpTo = this._revision;
  }

  protected async handle(request: StandinRequest): Promise<void> {
    const { url, response, method } = request;
    const call = `${method} ${url.pathname}${url.search}`;
    this.calls.push(call);
    this.onCall(call);
    this._setEraHeader(response);
    if (this.faults.silent) return;
    if (this.faults.status) return sendJsonAnswer(response, this.faults.status, {});
    if (this.faults.invalidJson) return void response.writeHead(200).end('<html>');
    if (this.answer !== undefined) return sendJsonAnswer(response, 200, this.answer);
    if (method !== 'GET') return this._handleWrite(request);
    const [, objectKind, name] = OBJECT_PATH.exec(url.pathname) ?? [];
    if (name !== undefined) return this._read(objectKind, name, response);
    const kind = KIND_PATH.exec(url.pathname)?.[1] ?? '';
    const watch = url.searchParams.get('watch');
    if (watch === null) this._list(kind, url.searchParams.get('since_rev') ?? '', response);
    else await this._watch(kind, Number(watch), Number(url.searchParams.get('wait_ms')), response);
  }

  private _read(kind: string, name: string, response: http.ServerResponse): void {
    const object = this.get(kind, name);
    if (object) sendJsonAnswer(response, 200, toWire(object));
    else sendJsonAnswer(response, 404, {});
  }

  private _setEraHeader(response: http.ServerResponse): void {
    const header = this.eraHeader ?? String(this.era);
    if (header === '') response.removeHeader(ERA_HEADER);
    else response.setHeader(ERA_HEADER, header);
  }

  private _handleWrite(request: StandinRequest): void {
    const { lateWritesMilliseconds } = this.faults;
    if (lateWritesMilliseconds === undefined) return this._write(request, sendJsonAnswer);
    const isLate = this._unansweredWrites++ % 2 === 1;
    setTimeout(() => this._write(request, () => undefined), isLate ? lateWritesMilliseconds : 0).unref();
  }

  private _write({ method, url, body, response }: StandinRequest, answer: typeof sendJsonAnswer): void {
    const { metadata, spec } = writtenSchema.parse(body ?? {});
    const [, kind, named] = OBJECT_PATH.exec(url.pathname) ?? KIND_PATH.exec(url.pathname) ?? [];
    const name = named ?? metadata.name;
    const current = this.get(kind, name);
    if (method === 'POST') {
      if (current) return answer(response, 409, toWire(current));
    } else {
      const expected = metadata.revision || Number(url.searchParams.get('revision'));
      if (!current) return answer(response, 404, {});
      if (expected > 0 && expected !== current.revision) return answer(response, 409, toWire(current));
    }
    if (method === 'DELETE') this.remove(kind, name);
    else this.put(kind, name, spec);
    const written = this._objects.find((object) => object.kind === kind && object.name === name)!;
    answer(response, 200, toWire(written));
  }

  /** Returns the current objects of a kind. */
  all(kind: string): readonly StandinObject[] {
    return this._objects.filter((object) => object.kind === kind && !object.gone);
  }

  /** Returns the current object; undefined if there is none. */
  get(kind: string, name: string): StandinObject | undefined {
    return this._objects.find((object) => object.kind === kind && object.name === name && !object.gone);
  }

  private _change(change: Omit<StandinObject, 'revision'>): void {
    const current = this._objects.findIndex(({ kind, name }) => kind === change.kind && name === change.name);
    if (current >= 0) this._objects.splice(current, 1);
    this._revision++;
    this._objects.push({ ...change, revision: this._revision });
    for (const resume of this._watchers) resume();
  }

  private _list(kind: string, after: string, response: http.ServerResponse): void {
    const sorted = [...this.all(kind)].sort((a, b) => (a.name < b.name ? -1 : 1));
    const later = sorted.filter((object) => object.name > after);
    const entries = later.slice(0, PAGE_SIZE).map(toWire);
    sendJsonAnswer(response, 200, { entries, more: later.length > PAGE_SIZE, at: this._revision });
  }

  private async _watch(
    kind: string,
    after: number,
    wait: number,
    response: http.ServerResponse,
  ): Promise<void> {
    const isUnknown = after < this._droppedUpTo || after > this._revision;
    if (isUnknown) return sendJsonAnswer(response, 410, {});
    const changes = (): StandinObject[] =>
      this._objects.filter((object) => object.kind === kind && object.revision > after);
    if (changes().length === 0) await this._waitForChange(wait);
    this._setEraHeader(response);
    if (this.answer !== undefined) return sendJsonAnswer(response, 200, this.answer);
    const events = changes().map((object) => ({ object: toWire(object), gone: object.gone }));
    sendJsonAnswer(response, 200, { events, at: this._revision });
  }

  private async _waitForChange(milliseconds: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const resume = (): void => {
        clearTimeout(timer);
        this._watchers.delete(resume);
        resolve();
      };
      const timer = setTimeout(resume, milliseconds).unref();
      this._watchers.add(resume);
    });
  }
}

function toWire({ name, revision, spec }: StandinObject): unknown {
  return { metadata: { name, revision, finalizers: [], deleting: false }, spec, status: null };
}
