/** Which backend servers a request may be sent to, as far as versions are concerned. Pure. */
import type { ServerRequirements } from './serverRequirements.js';
import type { TrackedServer } from './trackedServer.js';

/** What eligibility depends on. */
export type VersionedServer = Pick<
  TrackedServer,
  'version' | 'startsPromptly' | 'switching' | 'agentSilent' | 'suspicious' | 'slowLink'
>;

/**
 * The servers that hold a version on which the request may begin and are not changing it. A server of an older version
 * that nothing has been heard of may be frozen or cut off, and begin the request only when it is back, after the bound
 * for its version; on a narrow link a request may be on its way for as long. Such a server is left out as long as there
 * is any other, and late in the time of its version altogether: no request is sent whose time on the way nobody knows.
 */
export function eligibleServers<Server extends VersionedServer>(
  servers: readonly Server[],
  need: ServerRequirements,
): Server[] {
  if (need.model === '') return [...servers];
  const able = servers.filter((server) => isAble(server, need));
  const sure = able.filter((server) => !mayBeginTooLate(server, need));
  if (sure.length > 0) return sure;
  return able.filter((server) => server.version(need.model) >= need.preferredVersion);
}

function isAble(server: VersionedServer, need: ServerRequirements): boolean {
  const version = server.version(need.model);
  const lowest = server.startsPromptly ? need.minVersion : need.minVersionIfSlow;
  return version > 0 && version >= lowest && !server.switching;
}

function mayBeginTooLate(server: VersionedServer, need: ServerRequirements): boolean {
  const isOutdated = server.version(need.model) < need.newestVersion;
  return isOutdated && (server.agentSilent || server.suspicious || server.slowLink);
}
