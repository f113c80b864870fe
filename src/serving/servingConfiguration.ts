/** What an operator's configuration says of requests: routes, services, customers and limits. */

/** Whether a request may run more than once, and how its answer comes. */
export type RequestKind = 'repeatable' | 'once' | 'stream';

/** A service that a route leads to, and its part of the requests. */
export interface RouteTarget {
  service: string;
  weight: number;
}

/** One route; the longest path prefix of a host wins. */
export interface Route {
  name: string;
  host: string;
  pathPrefix: string;
  kind: RequestKind;
  targets: readonly RouteTarget[];
  /** Longest time that a request may be held. */
  timeoutMilliseconds: number;
  /** Time within which an answer (of a stream: its first event) is worth most. */
  objectiveMilliseconds: number;
  /** Backend servers that one request may be sent to. */
  attempts: number;
  /** 0 is the most urgent. */
  priority: number;
  /** Whether requests need no API key. */
  anonymous: boolean;
  /** Whether a stream may be resumed at another backend server. */
  resumable: boolean;
}

/** Figures of a service's model engine. */
export interface EngineDescription {
  slots: number;
  models: readonly string[];
  /** Time of a step that writes a token for every running request. */
  stepMilliseconds: number;
  readTokensPerSecond: number;
  /** Mean tokens of a prompt and of an answer. */
  usualPromptTokens: number;
  usualAnswerTokens: number;
}

/** Where and how the weights of models are read. */
export interface OriginDescription {
  address: string;
}

/** One service. */
export interface ServiceDescription {
  name: string;
  /** Connections that a backend server takes from all entries together. */
  maximumConnections: number;
  engine: EngineDescription | undefined;
  origin: OriginDescription | undefined;
}

/** A customer and the API keys that stand for it. */
export interface CustomerKeys {
  name: string;
  keys: readonly string[];
  priority: number | undefined;
}

/** What callers may send. */
export interface CallerLimits {
  bodyBytes: number;
  idleMilliseconds: number;
}

/** A whole configuration; versions rise. */
export interface ServingConfiguration {
  version: number;
  routes: readonly Route[];
  services: readonly ServiceDescription[];
  customers: readonly CustomerKeys[];
  limits: CallerLimits;
}
