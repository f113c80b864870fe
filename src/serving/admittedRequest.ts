/** A caller's request after admission, ready to be forwarded to a backend server. */
import type { AdmissionProfile } from '../admission/admissionPolicy.js';
import type { RequestIdentity } from '../crashes/requestIdentity.js';
import type { PermittedRegions } from '../locality/permittedRegions.js';
import type { CallerExchange } from './callerExchange.js';
import type { RetryAllowance } from './retryAllowance.js';
import type { Route } from './servingConfiguration.js';

export interface AdmittedRequest {
  exchange: CallerExchange;
  route: Route;
  service: string;
  /** Regions in which the request may run, by the home regions of its route and its customer. */
  permittedRegions: PermittedRegions;
  /** The model named by the caller, '' for none. */
  model: string;
  /** Identifies equal requests, including those sent again under another id. Computed on first use. */
  fingerprint: () => string;
  method: string;
  path: string;
  /** Headers to forward, names and values alternating, without those that differ between attempts. */
  headers: string[];
  body: Buffer | undefined;
  /** Size of the prompt relative to the service's mean prompt; 1 when the caller does not give it. */
  promptSize: number;
  /** Maximum number of tokens of the answer; undefined when the caller does not give it. */
  outputTokens: number | undefined;
  /** Identifies the request and what it shares with others. Computed on first use. */
  identities: () => readonly RequestIdentity[];
  /** Ids of the parts of the prompt that other requests may share. */
  promptParts: readonly string[];
  /** Id of the last stream event that the caller has received, '' for none. */
  lastEventId: string;
  retries: RetryAllowance;
  profile: AdmissionProfile;
  /** Monotonic milliseconds of the request's deadline: the caller's or the route's, whichever comes first. */
  endsAt: number;
}
