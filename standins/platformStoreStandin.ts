/** A stand-in for the platform's metadata store: objects by kind and name, lists in pages, watches, writes bound to a revision. */
import type http from 'node:http';
import { z } from 'zod';
import { StandinServer, sendJsonAnswer } from './standinServer.js';
import type { StandinRequest } from './standinServer.js';

/** What the store can be told to do wrong. */
export interface PlatformStoreFaults {
  /** Answers every call with this status. */
  status?: number;
  /** Never answers. */
  silent?: boolean;
  /** Answers with something that is no JSON. */
  invalidJson?: boolean;
  /** Answers no write: it does every second one at once, and the others after this time if their conditions still hold. */
  lateWritesMilliseconds?: number;
}

/** An object, or what is left of one that was deleted. */
export interface HeldObject {
  kind: string;
  name: string;
  revision: number;
  spec: unknown;
  gone: boolean;
}

/** A copy from which the store may come back. */
export interface StoreCopy {
  revision: number;
  objects: readonly HeldObject[];
}

const ERA_HEADER = 'store-era';
const writtenSchema = z.object({
  metadata: z.object({ name: z.string().default(''), revision: z.number().default(0) }).prefault({}),
  spec: z.unknown().optional(),
});
const PAGE = 2;
const LIST = /^\/objects\/([^/]+)$/;
const OBJECT = /^\/objects\/([^/]+)\/([^/]+)$/;

export class PlatformStoreStandin extends StandinServer<PlatformStoreFaults> {
  /** Called with each call before it is answered. */
  onCall: (call: string) => void = () => undefined;
  /** Answers each list and watch instead of what is held. */
  answer: unknown;
  /** Rises each time the store is rolled back. */
  era = 0;
  /** Told in place of the era; '' tells none. */
  eraHeader: string | undefined;
  /** Calls that were made, as `METHOD path?query`. */
  readonly calls: string[] = [];
  private readonly _objects: HeldObject[] = [];
  private readonly _watchers = new Set<() => void>();
  private _revision = 0;
  private _lostWrites = 0;
  private _forgottenUpTo = 0;

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

  copy(): StoreCopy {
    return { revision: this._revision, objects: [...this._objects] };
  }

  /**
   * Is rolled back to an older copy: what was written since is gone, and its revisions are given out again. Open connections are cut.
   */
  rollBackTo({ revision, objects }: StoreCopy, { keepsConnections = false } = {}): void {
    this.era++;
    this._objects.splice(0, this._objects.length, ...objects);
    this._revision = revision;
    this._forgottenUpTo = Math.min(this._forgottenUpTo, revision);
    if (!keepsConnections) this.cutConnections();
  }

  /** Watches that wait now are never answered, as after a cut that lost their answers. */
  abandonWatches(): void {
    this._watchers.clear();
  }

  /** Forgets what changed so far, so that older watches are answered with 410. */
  dropHistory(): void {
    this._forgottenUpTo = this._revision;
  }

  protected async handle(request: StandinRequest): Promise<void> {
    const { url, response, method } = request;
    const call = `${method} ${url.pathname}${url.search}`;
    this.calls.push(call);
    this.onCall(call);
    this._tellEra(response);
    if (this.faults.silent) return;
    if (this.faults.status) return sendJsonAnswer(response, this.faults.status, {});
    if (this.faults.invalidJson) return void response.writeHead(200).end('<html>');
    if (this.answer !== undefined) return sendJsonAnswer(response, 200, this.answer);
    if (method !== 'GET') return this._takeWrite(request);
    const kind = LIST.exec(url.pathname)?.[1] ?? '';
    const watch = url.searchParams.get('watch');
    if (watch === null) this._list(kind, url.searchParams.get('since_rev') ?? '', response);
    else await this._watch(kind, Number(watch), Number(url.searchParams.get('wait_ms')), response);
  }

  private _tellEra(response: http.ServerResponse): void {
    const told = this.eraHeader ?? String(this.era);
    if (told === '') response.removeHeader(ERA_HEADER);
    else response.setHeader(ERA_HEADER, told);
  }

  private _takeWrite(request: StandinRequest): void {
    const { lateWritesMilliseconds } = this.faults;
    if (lateWritesMilliseconds === undefined) return this._write(request, sendJsonAnswer);
    const isLate = this._lostWrites++ % 2 === 1;
    setTimeout(() => this._write(request, () => undefined), isLate ? lateWritesMilliseconds : 0).unref();
  }

  private _write({ method, url, body, response }: StandinRequest, answer: typeof sendJsonAnswer): void {
    const { metadata, spec } = writtenSchema.parse(body ?? {});
    const [, kind, named] = OBJECT.exec(url.pathname) ?? LIST.exec(url.pathname) ?? [];
    const name = named ?? metadata.name;
    const known = this.get(kind, name);
    if (method === 'POST') {
      if (known) return answer(response, 409, toWire(known));
    } else {
      const expected = metadata.revision || Number(url.searchParams.get('revision'));
      if (!known) return answer(response, 404, {});
      if (expected > 0 && expected !== known.revision) return answer(response, 409, toWire(known));
    }
    if (method === 'DELETE') this.remove(kind, name);
    else this.put(kind, name, spec);
    const written = this._objects.find((object) => object.kind === kind && object.name === name)!;
    answer(response, 200, toWire(written));
  }

  /** All objects of a kind as they are held now. */
  all(kind: string): readonly HeldObject[] {
    return this._objects.filter((object) => object.kind === kind && !object.gone);
  }

  /** An object as it is held now. */
  get(kind: string, name: string): HeldObject | undefined {
    return this._objects.find((object) => object.kind === kind && object.name === name && !object.gone);
  }

  private _change(change: Omit<HeldObject, 'revision'>): void {
    const known = this._objects.findIndex(({ kind, name }) => kind === change.kind && name === change.name);
    if (known >= 0) this._objects.splice(known, 1);
    this._revision++;
    this._objects.push({ ...change, revision: this._revision });
    for (const wake of this._watchers) wake();
  }

  private _list(kind: string, after: string, response: http.ServerResponse): void {
    const sorted = [...this.all(kind)].sort((a, b) => (a.name < b.name ? -1 : 1));
    const later = sorted.filter((object) => object.name > after);
    const entries = later.slice(0, PAGE).map(toWire);
    sendJsonAnswer(response, 200, { entries, more: later.length > PAGE, at: this._revision });
  }

  private async _watch(
    kind: string,
    after: number,
    wait: number,
    response: http.ServerResponse,
  ): Promise<void> {
    const isUnknown = after < this._forgottenUpTo || after > this._revision;
    if (isUnknown) return sendJsonAnswer(response, 410, {});
    const changes = (): HeldObject[] =>
      this._objects.filter((object) => object.kind === kind && object.revision > after);
    if (changes().length === 0) await this._untilChange(wait);
    this._tellEra(response);
    if (this.answer !== undefined) return sendJsonAnswer(response, 200, this.answer);
    const events = changes().map((object) => ({ object: toWire(object), gone: object.gone }));
    sendJsonAnswer(response, 200, { events, at: this._revision });
  }

  private async _untilChange(milliseconds: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const wake = (): void => {
        clearTimeout(timer);
        this._watchers.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, milliseconds).unref();
      this._watchers.add(wake);
    });
  }
}

function toWire({ name, revision, spec }: HeldObject): unknown {
  return { metadata: { name, revision, finalizers: [], deleting: false }, spec, status: null };
}
