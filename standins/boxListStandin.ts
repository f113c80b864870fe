/** Stand-in for the box list. Boxes are added and removed over HTTP; a change becomes visible after a delay. */
import type { Box } from '../src/external/boxList.js';
import { StandinServer, sendJsonAnswer } from './standinServer.js';
import type { StandinRequest } from './standinServer.js';

/** Faults that can be injected. */
export interface BoxListFaults {
  /** `down` closes the connection of each read without an answer. */
  availability: 'up' | 'down';
  /** Delay until a change is visible. */
  lagMilliseconds: number;
}

/** Stores boxes in memory. `PUT /boxes/{box}` and `DELETE /boxes/{box}` change them. */
export class BoxListStandin extends StandinServer<BoxListFaults> {
  private readonly _boxes = new Map<string, Box>();
  private _revision = 0;

  constructor() {
    super({ availability: 'up', lagMilliseconds: 0 });
  }

  protected override handle({ method, url, body, response }: StandinRequest): void {
    const box = url.pathname.slice('/boxes/'.length);
    if (method === 'PUT') this._applyAfterLag(() => this._boxes.set(box, body as Box));
    if (method === 'DELETE') this._applyAfterLag(() => this._boxes.delete(box));
    if (method === 'GET' && this.faults.availability === 'down') {
      response.destroy();
      return;
    }
    sendJsonAnswer(response, 200, { revision: this._revision, boxes: [...this._boxes.values()] });
  }

  private _applyAfterLag(change: () => void): void {
    const apply = (): void => {
      change();
      this._revision++;
    };
    if (this.faults.lagMilliseconds === 0) apply();
    else setTimeout(apply, this.faults.lagMilliseconds);
  }
}
