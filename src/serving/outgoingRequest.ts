/** Builds the request that one backend server gets from a caller's request. */
import type { AdmittedRequest } from './admittedRequest.js';
import type { BackendRequest } from './backendCall.js';
import type { HeaderNames } from './headerNames.js';
import type { TrackedServer } from './trackedServer.js';

/** What changes from attempt to attempt. */
export interface AttemptParameters {
  server: TrackedServer;
  /** Milliseconds that are left for the attempt. */
  remainingMilliseconds: number;
  /** The last event that the caller has been sent, '' for none. */
  lastEventId: string;
  /** The newest version of the request's model, 0 when none is known. */
  newestVersion: number;
}

/** The caller's request with the headers of this attempt. */
export function outgoingRequest(
  request: AdmittedRequest,
  names: HeaderNames,
  parameters: AttemptParameters,
): BackendRequest {
  const { method, path, headers, body, model, promptSize: prompts } = request;
  const { server, remainingMilliseconds: leftMilliseconds, lastEventId, newestVersion } = parameters;
  const own = [names.deadline, String(Math.max(1, Math.floor(leftMilliseconds)))];
  own.push(names.expectedServer, server.record.id);
  if (lastEventId !== '') own.push(names.lastEventId, lastEventId);
  const version = server.version(model);
  // a server that has taken a newer version meanwhile rejects the request, so that its load is known to be another
  if (model !== '' && newestVersion > version) own.push(names.expectedVersion, String(version));
  return { method, path, headers: [...headers, ...own], body, promptSize: prompts };
}
