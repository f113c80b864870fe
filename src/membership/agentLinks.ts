import { EventEmitter } from 'node:events';
import type { Box } from '../external/boxList.js';
import type { LinkServices } from './agentLink.js';
import { AgentLink } from './agentLink.js';

interface AgentLinksEvents {
  change: [];
  load: [link: AgentLink];
}

/** The links of an entry to all agents that it is connected to. */
export class AgentLinks extends EventEmitter<AgentLinksEvents> {
  private readonly _services: LinkServices;
  private readonly _links = new Map<string, AgentLink>();

  constructor(services: LinkServices) {
    super();
    this._services = services;
  }

  get(box: string): AgentLink | undefined {
    return this._links.get(box);
  }

  all(): AgentLink[] {
    return [...this._links.values()];
  }

  /** Keeps a link to each of these boxes and closes all others. Replaces a link if its address or ports changed. */
  setBoxes(boxes: readonly Box[]): void {
    const wanted = new Map(boxes.map((box) => [box.box, box]));
    for (const link of this.all()) {
      const box = wanted.get(link.box.box);
      if (box && sameEndpoint(box, link.box)) link.box.state = box.state;
      else this._drop(link);
    }
    for (const box of boxes) {
      if (!this._links.has(box.box)) this._add(box);
    }
  }

  close(): void {
    for (const link of this.all()) this._drop(link);
  }

  private _add(box: Box): void {
    const link = new AgentLink({ ...box }, this._services);
    link.on('change', () => this.emit('change'));
    link.on('load', () => this.emit('load', link));
    this._links.set(box.box, link);
    this.emit('change');
  }

  private _drop(link: AgentLink): void {
    link.close();
    this._links.delete(link.box.box);
    this.emit('change');
  }
}

function sameEndpoint(a: Box, b: Box): boolean {
  return a.address === b.address && a.controlPort === b.controlPort && a.httpPort === b.httpPort;
}
