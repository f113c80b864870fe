import { pause } from '../utils/timers.js';
import type { ApiChanges, ApiListing, ApiObject, ObjectApi, WriteOutcome } from './objectApi.js';

const FIRST_PAUSE_MILLISECONDS = 50;
const LONGEST_PAUSE_MILLISECONDS = 5_000;
/** Factor by which the pause shrinks after each write that was not rate-limited. */
const PAUSE_REDUCTION_FACTOR = 0.8;

/**
 * Delays writes while the object API rate-limits them, with a pause that doubles after each rejection. Coordinators
 * write through it, so that the changes of operators, which are not delayed, take precedence.
 */
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
    return await this._writePaced(() => this._api.put(key, value, expectedRevision));
  }

  async delete(key: string, expectedRevision: number): Promise<WriteOutcome> {
    return await this._writePaced(() => this._api.delete(key, expectedRevision));
  }

  private async _writePaced(write: () => Promise<WriteOutcome>): Promise<WriteOutcome> {
    if (this._pauseMilliseconds >= 1) await pause(this._pauseMilliseconds);
    const outcome = await write();
    if (outcome.kind === 'refused' && outcome.limited) {
      const doubledMilliseconds = Math.max(FIRST_PAUSE_MILLISECONDS, this._pauseMilliseconds * 2);
      this._pauseMilliseconds = Math.min(LONGEST_PAUSE_MILLISECONDS, doubledMilliseconds);
    } else {
      this._pauseMilliseconds *= PAUSE_REDUCTION_FACTOR;
    }
    return outcome;
  }
}
