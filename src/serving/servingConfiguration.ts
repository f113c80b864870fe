/** The operator's configuration for serving requests: routes, services, customers and limits. */

/** Whether a request may run more than once, and whether its answer is a stream. */
export type RequestKind = 'repeatable' | 'once' | 'stream';

/** A service that a route sends requests to, with its share of them. */
export interface RouteTarget {
  service: string;
  weight: number;
}

/** A route. Among the routes of a host, the one with the longest matching path prefix is used. */
export interface Route {
  name: string;
  host: string;
  pathPrefix: string;
  kind: RequestKind;
  targets: readonly RouteTarget[];
  /** Maximum duration of a request. */
  timeoutMilliseconds: number;
  /** Target time to the answer, or to the first event of a stream. */
  objectiveMilliseconds: number;
  /** Maximum number of backend servers that one request is sent to. */
  attempts: number;
  /** 0 is the highest priority. */
  priority: number;
  /** Whether requests need no API key. */
  anonymous: boolean;
  /** Whether a stream may be resumed on another backend server. */
  resumable: boolean;
  /** Regions to which the requests are limited; empty for none. */
  homeRegions: readonly string[];
}

/** Whether a request to this route may run more than once. */
export function isRepeatable({ kind, resumable }: Route): boolean {
  return kind === 'repeatable' || (kind === 'stream' && resumable);
}

/** Properties of a service's model engine. */
export interface EngineDescription {
  slots: number;
  models: readonly string[];
  /** Duration of a step, which writes one token for every running request. */
  stepMilliseconds: number;
  readTokensPerSecond: number;
  /** Mean number of tokens in a prompt. */
  meanPromptTokens: number;
  /** Mean number of tokens in an answer. */
  meanAnswerTokens: number;
  /** Number of tokens in an event of a stream. */
  tokensPerEvent: number;
}

/** Where model weights are read from. */
export interface OriginDescription {
  address: string;
}

/** How servers of a service behave for a while after they start under traffic, or at other times by their record. */
export interface ColdStartDescription {
  /** Duration of the warm-up after a start. */
  startMilliseconds: number;
  /** Requests per second that a cold server handles, from all entries together. */
  perSecond: number;
}

export interface ServiceDescription {
  name: string;
  /** Connections that a backend server accepts from all entries together. */
  maximumConnections: number;
  engine: EngineDescription | undefined;
  origin: OriginDescription | undefined;
  /** Undefined if a cold server handles as many requests as any other. */
  cold?: ColdStartDescription;
}

/** A customer and its API keys. */
export interface CustomerKeys {
  name: string;
  keys: readonly string[];
  priority: number | undefined;
  /** Regions to which the customer's requests are limited; empty for none. */
  homeRegions: readonly string[];
}

/** Limits for requests and connections of callers. */
export interface CallerLimits {
  bodyBytes: number;
  /** Longest time for the head of a request. */
  headMilliseconds: number;
  idleMilliseconds: number;
}

/** A complete configuration. Its version increases with every change. */
export interface ServingConfiguration {
  version: number;
  routes: readonly Route[];
  services: readonly ServiceDescription[];
  customers: readonly CustomerKeys[];
  limits: CallerLimits;
}
