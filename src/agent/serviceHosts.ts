/** All configurations on a box. */
import type { Neighbour } from '../weights/topology.js';
import type { ServiceHostOptions } from './serviceHost.js';
import { ServiceHost } from './serviceHost.js';
import type { StagedVersion } from './stagedVersion.js';

/** What every service host of a box shares. */
export type SharedHostOptions = Omit<ServiceHostOptions, 'customer' | 'configuration'>;

/** Finds, makes and asks service hosts. */
export class ServiceHosts {
  private readonly _shared: SharedHostOptions;
  private readonly _hosts = new Map<string, ServiceHost>();

  constructor(shared: SharedHostOptions) {
    this._shared = shared;
  }

  find(customer: string, configuration: string): ServiceHost | undefined {
    return this._hosts.get(`${customer}.${configuration}`);
  }

  /** Returns the host of a configuration, new if need be. */
  getOrCreate(customer: string, configuration: string): ServiceHost {
    const known = this.find(customer, configuration);
    if (known) return known;
    const host = new ServiceHost({ ...this._shared, customer, configuration });
    this._hosts.set(`${customer}.${configuration}`, host);
    return host;
  }

  all(): ServiceHost[] {
    return [...this._hosts.values()];
  }

  versions(): StagedVersion[] {
    return this.all().flatMap((host) => host.versions);
  }

  /** Everyone that some version exchanges chunks with. */
  neighbours(): Neighbour[] {
    return this.versions().flatMap((version) => version.exchange.neighbours);
  }
}
