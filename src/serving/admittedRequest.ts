/** A caller's request that may be sent to a backend server. */
import type { CallerExchange } from './callerExchange.js';
import type { RetryAllowance } from './retryAllowance.js';
import type { Route } from './servingConfiguration.js';

/** A request that has been admitted. */
export interface AdmittedRequest {
  exchange: CallerExchange;
  route: Route;
  service: string;
  /** The model that the caller names, '' for none. */
  model: string;
  /** By what the same request is known when it comes again; worked out when it is first asked for. */
  fingerprint: () => string;
  method: string;
  path: string;
  /** Headers to pass on, without those that change from attempt to attempt. */
  headers: string[];
  body: Buffer | undefined;
  /** Size of the prompt, in usual prompts of the service; 1 when the caller does not tell it. */
  promptSize: number;
  /** The last event that the caller has seen, '' for none. */
  lastEventId: string;
  retries: RetryAllowance;
  /** Monotonic milliseconds at which the caller or the operator no longer waits. */
  endsAt: number;
}
