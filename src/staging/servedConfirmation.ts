/**
 * What is known of the weights in service: a version counts as confirmed once all chunks were found intact after the
 * server took them. The server itself loads whatever is staged.
 */
import type { ConfirmedLoad } from '../protocol/boxMessages.js';
import type { LocalBackendStatus } from './localBackend.js';

export class ServedConfirmation {
  private readonly _model: () => string;
  /** Own confirmations and those that others remember from an earlier incarnation of this agent. */
  private _confirmed: ConfirmedLoad[] = [];

  /** `model` returns the model that the server serves; '' while unknown. */
  constructor(model: () => string) {
    this._model = model;
  }

  /** Adds a confirmation. Returns whether it is new. */
  add(load: ConfirmedLoad): boolean {
    if (this._confirmed.some((known) => isSame(known, load))) return false;
    this._confirmed.push(load);
    return true;
  }

  /** Removes confirmations of earlier loads, which no longer matter. */
  keepOnly(status: LocalBackendStatus): void {
    const { startedAt, revision } = status;
    this._confirmed = this._confirmed.filter(
      (load) => load.startedAt === startedAt && load.revision >= revision,
    );
  }

  /** The confirmed load in service; undefined if there is none. A server that took no order serves what it started with. */
  loadOf(status: LocalBackendStatus): ConfirmedLoad | undefined {
    const version = status.versions.get(this._model()) ?? 0;
    const load = { startedAt: status.startedAt, revision: status.revision, version };
    if (version === 0) return undefined;
    const isConfirmed = status.revision === 0 || this._confirmed.some((known) => isSame(known, load));
    return isConfirmed ? load : undefined;
  }
}

function isSame(a: ConfirmedLoad, b: ConfirmedLoad): boolean {
  return a.startedAt === b.startedAt && a.revision === b.revision && a.version === b.version;
}
