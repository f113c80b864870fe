/** Maps each configuration to the boxes that serve it, according to the agents' reports. */
import type { ConfigurationName } from '../configuration/recordKeys.js';
import { shortName } from '../configuration/recordKeys.js';
import type { AgentLink } from '../membership/agentLink.js';
import type { AgentLinks } from '../membership/agentLinks.js';
import type { ServiceReport } from '../protocol/reportMessages.js';
import type { Clock } from '../utils/clock.js';
import type { Backend } from './backend.js';
import { BoxLoad } from './backend.js';
import type { BackendPool } from './backendChoice.js';
import { CircuitBreaker } from './circuitBreaker.js';
import { preferVersion } from './versionPreference.js';

/** State of a box that an entry keeps across reports. */
interface BoxState {
  load: BoxLoad;
  circuitBreaker: CircuitBreaker;
  reportedAt: number;
}

/** A pool and the activated rollout for which it was built. */
interface CachedPool {
  activatedRollout: string | undefined;
  pool: BackendPool;
}

/** Rebuilt lazily, at the first lookup after a report or a link has changed. */
export class RouteTable {
  private readonly _links: AgentLinks;
  private readonly _dataCentre: string;
  private readonly _clock: Clock;
  /** Returns the activated rollout of a configuration, undefined when none is activated. */
  private readonly _activatedRollout: (name: ConfigurationName) => string | undefined;
  private readonly _boxes = new Map<string, BoxState>();
  private _backends = new Map<string, Backend[]>();
  private readonly _pools = new Map<string, CachedPool>();
  private _stale = true;

  constructor(
    links: AgentLinks,
    dataCentre: string,
    clock: Clock,
    activatedRollout: (name: ConfigurationName) => string | undefined,
  ) {
    this._links = links;
    this._dataCentre = dataCentre;
    this._clock = clock;
    this._activatedRollout = activatedRollout;
    links.on('change', () => (this._stale = true));
    links.on('load', (link) => this._updateLoad(link));
  }

  /** Boxes that currently accept requests for a configuration. */
  pool(name: ConfigurationName): BackendPool {
    if (this._stale) this._rebuild();
    const activated = this._activatedRollout(name);
    const cached = this._pools.get(shortName(name));
    if (cached && cached.activatedRollout === activated) return cached.pool;
    const backends = preferVersion(this._backends.get(shortName(name)) ?? [], activated);
    const pool = {
      sameDataCentre: backends.filter((backend) => backend.dataCentre === this._dataCentre),
      otherDataCentres: backends.filter((backend) => backend.dataCentre !== this._dataCentre),
    };
    this._pools.set(shortName(name), { activatedRollout: activated, pool });
    return pool;
  }

  /** The box that runs the given agent incarnation, if it accepts requests for the configuration. */
  owner(name: ConfigurationName, box: string, incarnation: string): Backend | undefined {
    if (this._stale) this._rebuild();
    return this._backends
      .get(shortName(name))
      ?.find((each) => each.box === box && each.incarnation === incarnation);
  }

  circuitBreaker(box: string): CircuitBreaker {
    return this._state(box).circuitBreaker;
  }

  private _state(box: string): BoxState {
    let state = this._boxes.get(box);
    if (!state) {
      state = { load: new BoxLoad(), circuitBreaker: new CircuitBreaker(this._clock), reportedAt: 0 };
      this._boxes.set(box, state);
    }
    return state;
  }

  private _rebuild(): void {
    this._stale = false;
    this._backends = new Map();
    this._pools.clear();
    for (const link of this._links.all()) {
      const { report } = link;
      if (!link.live || !report?.backendUp || link.box.state === 'leaving') continue;
      this._updateLoad(link);
      for (const service of report.services) this._addBackend(link, service);
    }
  }

  private _updateLoad(link: AgentLink): void {
    const state = this._state(link.box.box);
    if (state.reportedAt === link.reportedAt) return;
    state.reportedAt = link.reportedAt;
    state.load.report(link.report!.inFlight + link.report!.queued, link.reportedAt);
  }

  private _addBackend(link: AgentLink, service: ServiceReport): void {
    if (service.activeVersion === '') return;
    const { box, dataCentre, address, httpPort } = link.box;
    const name = shortName(service);
    const backends = this._backends.get(name) ?? [];
    backends.push({
      box,
      dataCentre,
      address,
      httpPort,
      incarnation: link.report!.incarnation,
      version: service.activeVersion,
      rollout: service.activeRollout,
      capacity: link.report!.capacity,
      load: this._state(box).load,
      lost: link.lostSignal,
    });
    this._backends.set(name, backends);
  }
}
