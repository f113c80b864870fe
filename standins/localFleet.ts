/** A fleet of real processes on loopback: stand-ins, entries and agents. Used by demo, bench and tests. */
import { randomUUID } from 'node:crypto';
import type { Box } from '../src/external/boxList.js';
import { sendJson } from '../src/external/httpClient.js';
import type { JsonAnswer } from '../src/external/httpClient.js';
import type { RolloutStatus } from '../src/entry/rolloutStatusReader.js';
import { sha256Hex } from '../src/utils/hash.js';
import { pause } from '../src/utils/timers.js';
import { Child } from './childProcess.js';
import type { FleetOptions } from './fleetSettings.js';
import { commonSettings, numbersUpTo, withPrefix } from './fleetSettings.js';
import type { VersionRecipe } from './originStandin.js';

/** A box, represented by one process of the fleet. */
export interface FleetBox {
  name: string;
  dataCentre: string;
  role: Box['role'];
  child: Child;
  httpUrl: string;
  /** URL of the agent's backend server; empty for entries. */
  backendUrl: string;
}

/** Digest and size of a published version. */
export interface PublishedVersion {
  blobDigest: string;
  totalBytes: number;
}

export const OPERATOR_KEY = 'operator-key-for-loopback';
const TIMEOUT_MILLISECONDS = 15_000;
const POLL_MILLISECONDS = 20;
/** How often, and at which interval, a change is retried while the entry answers 503. */
const PUBLISH_RETRIES = 20;
const PUBLISH_RETRY_MILLISECONDS = 500;
/** An entry has at least this many peers if there are as many other entries. */
const MIN_PEERS = 3;

/** Created by {@link LocalFleet.start}. Call {@link LocalFleet.stop} when done. */
export class LocalFleet {
  readonly boxes = new Map<string, FleetBox>();
  objectApiUrl = '';
  boxListUrl = '';
  originUrl = '';
  private readonly _options: FleetOptions;
  private readonly _standins: Child[] = [];

  private constructor(options: FleetOptions) {
    this._options = options;
  }

  static async start(options: FleetOptions): Promise<LocalFleet> {
    const fleet = new LocalFleet(options);
    try {
      await fleet._startSharedStandins();
      await Promise.all(options.dataCentres.map((dataCentre) => fleet._startDataCentre(dataCentre)));
      await fleet._waitUntilReady();
    } catch (error) {
      await fleet.stop();
      throw error;
    }
    return fleet;
  }

  entries(): FleetBox[] {
    return [...this.boxes.values()].filter((box) => box.role === 'entry' && box.child.running);
  }

  box(name: string): FleetBox {
    const box = this.boxes.get(name);
    if (!box) throw new Error(`no box ${name}`);
    return box;
  }

  /** Returns the names of the boxes with an engine, sorted. */
  modelBoxes(): string[] {
    return this._agentNames('model');
  }

  plainBoxes(): string[] {
    return this._agentNames('plain');
  }

  /** Sends a request with the operator key to an entry. */
  async sendAsOperator(
    method: 'GET' | 'PUT' | 'DELETE',
    path: string,
    body?: unknown,
    entry = this.entries()[0],
    changeId: string = randomUUID(),
  ): Promise<JsonAnswer> {
    const headers = { authorization: `Bearer ${OPERATOR_KEY}`, 'idempotency-key': changeId };
    return await this._send(method, `${entry.httpUrl}${path}`, body, headers);
  }

  /** Sends a change with the operator key. Retries it after status 503; throws if it is not accepted. */
  async publish(path: string, body: unknown): Promise<void> {
    const changeId = randomUUID();
    let answer = await this.sendAsOperator('PUT', path, body, undefined, changeId);
    for (let attempt = 0; answer.status === 503 && attempt < PUBLISH_RETRIES; attempt++) {
      await pause(PUBLISH_RETRY_MILLISECONDS);
      answer = await this.sendAsOperator('PUT', path, body, undefined, changeId);
    }
    if (answer.status !== 200) throw new Error(`${path}: ${answer.status} ${JSON.stringify(answer.body)}`);
  }

  async addCustomer(name: string, apiKey: string): Promise<void> {
    await this.publish(`/v1/customers/${name}`, { keyDigests: [sha256Hex(apiKey)] });
  }

  async publishVersion(recipe: VersionRecipe): Promise<PublishedVersion> {
    const answer = await this._send('POST', `${this.originUrl}/_versions`, recipe);
    return answer.body as PublishedVersion;
  }

  /** Injects faults into the stand-in at `url`. */
  async setFaults(url: string, faults: object): Promise<void> {
    await this._send('POST', `${url}/_faults`, faults);
  }

  async originBytes(): Promise<number> {
    const answer = await this._send('GET', `${this.originUrl}/_counts`);
    return (answer.body as { bytesSent: number }).bytesSent;
  }

  async read<T>(url: string): Promise<T> {
    return (await this._send('GET', url)).body as T;
  }

  async rollout(customer: string, name: string, entry = this.entries()[0]): Promise<RolloutStatus> {
    const answer = await this.sendAsOperator('GET', `/v1/rollouts/${customer}/${name}`, undefined, entry);
    return answer.body as RolloutStatus;
  }

  /** Polls until `condition` returns a value other than false and undefined; errors count as false. */
  async until<T>(
    what: string,
    condition: () => Promise<T | undefined | false>,
    timeoutMilliseconds = 30_000,
  ): Promise<T> {
    const deadline = performance.now() + timeoutMilliseconds;
    while (performance.now() < deadline) {
      const value = await condition().catch(() => undefined);
      if (value !== undefined && value !== false) return value;
      await pause(POLL_MILLISECONDS);
    }
    throw new Error(`timed out waiting for: ${what}`);
  }

  async untilComplete(
    customer: string,
    configuration: string,
    version: string,
    timeoutMilliseconds = 60_000,
  ): Promise<RolloutStatus> {
    return await this.until(
      `${customer}.${configuration} ${version} complete`,
      async () => {
        const status = await this.rollout(customer, configuration);
        return (
          status.phase === 'complete' &&
          status.wantedVersion === version &&
          status.replicas === status.boxes &&
          status
        );
      },
      timeoutMilliseconds,
    );
  }

  /** Changes a box's state in the box list, without notifying its process. */
  async setBoxState(name: string, state: Box['state']): Promise<void> {
    const { boxes } = await this.read<{ boxes: Box[] }>(`${this.boxListUrl}/boxes`);
    const box = boxes.find((each) => each.box === name);
    await this._send('PUT', `${this.boxListUrl}/boxes/${name}`, { ...box, state });
  }

  /** Removes a box from the box list. */
  async removeFromBoxList(name: string): Promise<void> {
    await this._send('DELETE', `${this.boxListUrl}/boxes/${name}`);
  }

  /** Restarts the agent or entry of a box without its state, and updates the box list. */
  async restart(name: string): Promise<FleetBox> {
    const old = this.box(name);
    await old.child.end();
    if (old.role === 'entry') return await this._startEntry(name, old.dataCentre);
    return await this._startAgent(name, old.dataCentre, old.backendUrl);
  }

  /** Kills all processes. */
  async stop(): Promise<void> {
    const children = [...this.boxes.values()].map((box) => box.child);
    await Promise.all([...children, ...this._standins].map((child) => child.end()));
  }

  private _agentNames(part: string): string[] {
    const names = [...this.boxes.values()].filter((box) => box.role === 'agent').map((box) => box.name);
    return names.filter((name) => name.includes(`-${part}-`)).sort();
  }

  private async _startSharedStandins(): Promise<void> {
    this.objectApiUrl = (await this._standin('object-api', {}))[0];
    this.boxListUrl = (await this._standin('box-list', {}))[0];
    this.originUrl = (
      await this._standin('origin', { bytesPerSecond: this._options.originBytesPerSecond ?? 0 })
    )[0];
  }

  private async _standin(kind: string, options: object): Promise<string[]> {
    const child = await Child.start({ script: 'standins/main.js', args: [kind, JSON.stringify(options)] });
    this._standins.push(child);
    return child.ready['urls'] as string[];
  }

  private async _startDataCentre(dataCentre: string): Promise<void> {
    const { modelBoxesPerDataCentre: modelBoxes, plainBoxesPerDataCentre: plainBoxes = 0 } = this._options;
    const { engine } = this._options;
    const engines = modelBoxes > 0 ? await this._standin('engine', { ...engine, count: modelBoxes }) : [];
    const plain = plainBoxes > 0 ? await this._standin('plain', { count: plainBoxes }) : [];
    const entries = numbersUpTo(this._options.entriesPerDataCentre).map((index) =>
      this._startEntry(`${dataCentre}-entry-${index}`, dataCentre),
    );
    const models = engines.map((url, index) =>
      this._startAgent(`${dataCentre}-model-${index + 1}`, dataCentre, url),
    );
    const plains = plain.map((url, index) =>
      this._startAgent(`${dataCentre}-plain-${index + 1}`, dataCentre, url),
    );
    await Promise.all([...entries, ...models, ...plains]);
  }

  private async _startEntry(name: string, dataCentre: string): Promise<FleetBox> {
    const child = await Child.start({
      script: 'src/cli/main.js',
      args: ['entry'],
      environment: {
        ...commonSettings(name, dataCentre, this.originUrl),
        LARKLATCH_OBJECT_API_URL: this.objectApiUrl,
        LARKLATCH_BOX_LIST_URL: this.boxListUrl,
        LARKLATCH_OPERATOR_KEY: OPERATOR_KEY,
        LARKLATCH_LEASE_MILLISECONDS: '3000',
        LARKLATCH_BOX_LIST_MILLISECONDS: '200',
        ...withPrefix(this._options.entrySettings),
      },
    });
    return await this._addBox(name, dataCentre, 'entry', child, '');
  }

  private async _startAgent(name: string, dataCentre: string, backendUrl: string): Promise<FleetBox> {
    const corrupting = this._options.corruptingBoxes?.includes(name) ?? false;
    const child = await Child.start({
      script: corrupting ? 'standins/faultyAgent.js' : 'src/cli/main.js',
      args: corrupting ? [] : ['agent'],
      environment: {
        ...commonSettings(name, dataCentre, this.originUrl),
        LARKLATCH_BACKEND_URL: backendUrl,
        LARKLATCH_BACKEND_KIND: name.includes('-plain-') ? 'plain' : 'model',
        LARKLATCH_WEIGHT_BYTES_PER_SECOND: String(Math.round(this._options.boxBytesPerSecond ?? 0)),
        ...withPrefix(this._options.agentSettings),
      },
    });
    return await this._addBox(name, dataCentre, 'agent', child, backendUrl);
  }

  private async _addBox(
    name: string,
    dataCentre: string,
    role: Box['role'],
    child: Child,
    backendUrl: string,
  ): Promise<FleetBox> {
    const { httpPort, controlPort } = child.ready as { httpPort: number; controlPort: number };
    const location = { box: name, role, dataCentre, address: '127.0.0.1' };
    const box: Box = { ...location, httpPort, controlPort, state: 'live' };
    await this._send('PUT', `${this.boxListUrl}/boxes/${name}`, box);
    const fleetBox: FleetBox = {
      name,
      dataCentre,
      role,
      child,
      httpUrl: `http://127.0.0.1:${httpPort}`,
      backendUrl,
    };
    this.boxes.set(name, fleetBox);
    return fleetBox;
  }

  private async _waitUntilReady(): Promise<void> {
    const count = this.entries().length;
    for (const entry of this.entries()) {
      await this.until(
        `${entry.name} ready`,
        async () => (await this._send('GET', `${entry.httpUrl}/readyz`)).status === 200,
      );
      await this.until(`${entry.name} connected`, async () => {
        const text = await (await fetch(`${entry.httpUrl}/metrics`)).text();
        return Number(/^larklatch_entry_peers (\d+)$/m.exec(text)?.[1]) >= Math.min(count - 1, MIN_PEERS);
      });
    }
  }

  private async _send(
    method: 'GET' | 'PUT' | 'POST' | 'DELETE',
    url: string,
    body?: unknown,
    headers = {},
  ): Promise<JsonAnswer> {
    return await sendJson({
      step: 'fleet',
      method,
      url,
      body,
      headers,
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
    });
  }
}
