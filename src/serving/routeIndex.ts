/** Index for finding the route and the customer of a request in one version of the configuration. */
import { RequestRanks } from '../admission/requestRanks.js';
import type { PermittedRegions } from '../locality/permittedRegions.js';
import { permittedRegions } from '../locality/permittedRegions.js';
import type {
  CustomerKeys,
  Route,
  ServiceDescription,
  ServingConfiguration,
} from './servingConfiguration.js';

/** Immutable; each new version of the configuration gets a new index. */
export class RouteIndex {
  readonly configuration: ServingConfiguration;
  readonly ranks: RequestRanks;
  private readonly _routesByHost = new Map<string, Route[]>();
  private readonly _customersByKey = new Map<string, CustomerKeys>();
  private readonly _services = new Map<string, ServiceDescription>();

  constructor(configuration: ServingConfiguration) {
    this.configuration = configuration;
    this.ranks = new RequestRanks(configuration.routes, configuration.customers);
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const atHost = this._routesByHost.get(host);
      if (atHost) atHost.push(route);
      else this._routesByHost.set(host, [route]);
    }
    for (const routes of this._routesByHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const customer of configuration.customers) {
      for (const key of customer.keys) this._customersByKey.set(key, customer);
    }
    for (const service of configuration.services) this._services.set(service.name, service);
  }

  /** Returns the route with the longest matching path prefix. The port of `host` and the query string are ignored. */
  route(host: string, target: string): Route | undefined {
    const routes = this._routesAt(host);
    const path = target.split('?', 1)[0];
    return routes?.find((route) => path.startsWith(route.pathPrefix));
  }

  /** Returns the home regions that all routes of a host with home regions share. The port of `host` is ignored. */
  homeRegions(host: string): PermittedRegions {
    return permittedRegions((this._routesAt(host) ?? []).map((route) => route.homeRegions));
  }

  /** Returns the customer to which an API key belongs. */
  customer(key: string): CustomerKeys | undefined {
    return this._customersByKey.get(key);
  }

  /** Whether any customers are configured; if so, requests need an API key unless their route is anonymous. */
  get hasCustomers(): boolean {
    return this.configuration.customers.length > 0;
  }

  service(name: string): ServiceDescription | undefined {
    return this._services.get(name);
  }

  services(): Iterable<ServiceDescription> {
    return this._services.values();
  }

  private _routesAt(host: string): readonly Route[] | undefined {
    return this._routesByHost.get(host.replace(/:\d+$/, '').toLowerCase());
  }
}

/** Chooses the target service of a route by weight. `fraction` is a random number from 0 up to 1. */
export function chooseTarget(route: Route, fraction: number): string {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let left = fraction * total;
  for (const target of route.targets) {
    left -= target.weight;
    if (left < 0) return target.service;
  }
  return route.targets[route.targets.length - 1].service;
}
