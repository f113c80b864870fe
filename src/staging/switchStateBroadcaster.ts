/** Tells the other boxes where this one stands on the way to its next version. */
import type { SwitchState } from '../protocol/boxMessages.js';

/** What the notices work with. */
export interface SwitchStateBroadcasterOptions {
  /** Where this box stands now. */
  state: () => SwitchState;
  /** Sends to those of these boxes that are connected. */
  send: (boxes: readonly string[], state: SwitchState) => void;
}

/** Each listed box is told every change, and where this one stands by then when it is listed anew. */
export class SwitchStateBroadcaster {
  private readonly _options: SwitchStateBroadcasterOptions;
  private _listed: readonly string[] = [];
  private _lastState = '';

  constructor(options: SwitchStateBroadcasterOptions) {
    this._options = options;
  }

  /** Tells these boxes from now on. */
  setRecipients(boxes: readonly string[]): void {
    const added = boxes.filter((box) => !this._listed.includes(box));
    this._listed = boxes;
    this._options.send(added, this._options.state());
  }

  /** The stage of this box may have changed. */
  onStageChange(): void {
    const state = this._options.state();
    const text = JSON.stringify(state);
    if (text === this._lastState) return;
    this._lastState = text;
    this._options.send(this._listed, state);
  }
}
