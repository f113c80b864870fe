import type { Neighbour } from '../weights/topology.js';
import type { ServiceHostOptions } from './serviceHost.js';
import { ServiceHost } from './serviceHost.js';
import type { StagedVersion } from './stagedVersion.js';

/** Options that are the same for all service hosts of a box. */
export type SharedHostOptions = Omit<ServiceHostOptions, 'customer' | 'configuration'>;

/** The hosts of all configurations on a box. */
export class ServiceHosts {
  private readonly _shared: SharedHostOptions;
  private readonly _hosts = new Map<string, ServiceHost>();

  constructor(shared: SharedHostOptions) {
    this._shared = shared;
  }

  find(customer: string, configuration: string): ServiceHost | undefined {
    return this._hosts.get(`${customer}.${configuration}`);
  }

  /** Returns the host of a configuration, and creates it if there is none. */
  getOrCreate(customer: string, configuration: string): ServiceHost {
    const existing = this.find(customer, configuration);
    if (existing) return existing;
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

  /** The agents with which any version exchanges chunks; an agent may be listed more than once. */
  neighbours(): Neighbour[] {
    return this.versions().flatMap((version) => version.exchange.neighbours);
  }
}
