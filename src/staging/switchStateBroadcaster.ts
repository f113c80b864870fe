/** Sends the switch state of this box to the other boxes of the service. */
import type { SwitchState } from '../protocol/boxMessages.js';

/** Options of a {@link SwitchStateBroadcaster}. */
export interface SwitchStateBroadcasterOptions {
  /** Returns the current state of this box. */
  state: () => SwitchState;
  /** Sends a state to those of `boxes` that are connected. */
  send: (boxes: readonly string[], state: SwitchState) => void;
}

/** Sends every change of the state to all recipients, and the current state to each new recipient. */
export class SwitchStateBroadcaster {
  private readonly _options: SwitchStateBroadcasterOptions;
  private _recipients: readonly string[] = [];
  private _lastSent = '';

  constructor(options: SwitchStateBroadcasterOptions) {
    this._options = options;
  }

  /** Replaces the recipients. */
  setRecipients(boxes: readonly string[]): void {
    const added = boxes.filter((box) => !this._recipients.includes(box));
    this._recipients = boxes;
    this._options.send(added, this._options.state());
  }

  /** Sends the state if it has changed since the last call. */
  onChange(): void {
    const state = this._options.state();
    const text = JSON.stringify(state);
    if (text === this._lastSent) return;
    this._lastSent = text;
    this._options.send(this._recipients, state);
  }
}
