/** Builds the request sent to a backend server from a caller's request. */
import type { AdmittedRequest } from './admittedRequest.js';
import type { BackendRequest } from './backendCall.js';
import type { HeaderNames } from './headerNames.js';
import type { TrackedServer } from './trackedServer.js';

/** The parameters that differ between attempts. */
export interface AttemptParameters {
  server: TrackedServer;
  /** Milliseconds until the request's deadline. */
  remainingMilliseconds: number;
  /** Id of the last event sent to the caller, '' for none. */
  lastEventId: string;
}

/** Adds the headers of the attempt to the caller's request. */
export function outgoingRequest(
  request: AdmittedRequest,
  names: HeaderNames,
  parameters: AttemptParameters,
): BackendRequest {
  const { method, path, headers, body, model, promptSize } = request;
  const { server, remainingMilliseconds, lastEventId } = parameters;
  const own = [names.deadline, String(Math.max(1, Math.floor(remainingMilliseconds)))];
  own.push(names.expectedServer, server.record.id);
  if (lastEventId !== '') own.push(names.lastEventId, lastEventId);
  const version = server.version(model);
  // A server that has switched to another version meanwhile, which may not be confirmed yet, rejects the request.
  if (model !== '') own.push(names.expectedVersion, String(version));
  return { method, path, headers: [...headers, ...own], body, promptSize };
}
