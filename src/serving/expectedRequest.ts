/** What the duration of a caller's request depends on. Pure functions. */
import type { ExpectedRequest } from '../draining/durationEstimator.js';
import type { AdmittedRequest } from './admittedRequest.js';
import { isRepeatable } from './servingConfiguration.js';

/** Describes a request at `now`, in monotonic milliseconds, after `eventsReceived` events of its answer have come. */
export function expectedRequest(
  {
    service,
    route,
    outputTokens,
    endsAt,
  }: Pick<AdmittedRequest, 'service' | 'route' | 'outputTokens' | 'endsAt'>,
  now: number,
  eventsReceived: number,
): ExpectedRequest {
  return {
    service,
    route: route.name,
    deadlineMilliseconds: endsAt - now,
    tokens: outputTokens,
    eventsReceived,
    repeatable: isRepeatable(route),
  };
}
