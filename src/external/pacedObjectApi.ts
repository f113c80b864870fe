/** An object API that slows down when the platform says that it gets too many writes. */
import { pause } from '../utils/timers.js';
import type { ApiChanges, ApiListing, ApiObject, ObjectApi, WriteOutcome } from './objectApi.js';

const FIRST_PAUSE_MILLISECONDS = 50;
const LONGEST_PAUSE_MILLISECONDS = 5_000;
/** What is left of the pause after a write that was taken. */
const RECOVERY = 0.8;

/** For coordinators: they make way for operators, whose changes go unpaced. */
export class PacedObjectApi implements ObjectApi {
  private readonly _api: ObjectApi;
  private _pauseMilliseconds = 0;

  constructor(api: ObjectApi) {
    this._api = api;
  }

  async get(key: string): Promise<ApiObject | undefined> {
    return await this._api.get(key);
  }

  async list(): Promise<ApiListing> {
    return await this._api.list();
  }

  async watch(revision: number, signal: AbortSignal): Promise<ApiChanges> {
    return await this._api.watch(revision, signal);
  }

  async put(key: string, value: unknown, expectedRevision: number): Promise<WriteOutcome> {
    return await this._paced(() => this._api.put(key, value, expectedRevision));
  }

  async delete(key: string, expectedRevision: number): Promise<WriteOutcome> {
    return await this._paced(() => this._api.delete(key, expectedRevision));
  }

  private async _paced(write: () => Promise<WriteOutcome>): Promise<WriteOutcome> {
    if (this._pauseMilliseconds >= 1) await pause(this._pauseMilliseconds);
    const outcome = await write();
    if (outcome.kind === 'refused' && outcome.limited) {
      const doubled = Math.max(FIRST_PAUSE_MILLISECONDS, this._pauseMilliseconds * 2);
      this._pauseMilliseconds = Math.min(LONGEST_PAUSE_MILLISECONDS, doubled);
    } else {
      this._pauseMilliseconds *= RECOVERY;
    }
    return outcome;
  }
}
