/** Holds the active configuration of this process and replaces it only by a newer one. */
import type { EventLog } from '../telemetry/eventLog.js';
import { RouteIndex } from './routeIndex.js';
import type { ServingConfiguration } from './servingConfiguration.js';

export class ConfigurationHolder {
  private readonly _log: EventLog;
  private _index: RouteIndex | undefined;

  constructor(log: EventLog) {
    this._log = log;
  }

  /** Undefined until the first configuration has been applied. */
  get index(): RouteIndex | undefined {
    return this._index;
  }

  get version(): number {
    return this._index?.configuration.version ?? -1;
  }

  /** Applies a configuration if it is newer than the active one; returns whether it was applied. */
  offer(configuration: ServingConfiguration, source: string): boolean {
    if (configuration.version <= this.version) return false;
    const previous = this.version;
    this._index = new RouteIndex(configuration);
    this._log.state('configuration.applied', {
      version: configuration.version,
      previous,
      source,
      routes: configuration.routes.length,
      customers: configuration.customers.length,
    });
    return true;
  }
}
