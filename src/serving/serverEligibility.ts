/** Selects the backend servers whose model version allows them to take a request. Pure functions. */
import type { ServerRequirements } from './serverRequirements.js';
import type { TrackedServer } from './trackedServer.js';

/** Properties of a server that its eligibility depends on. */
export type VersionedServer = Pick<
  TrackedServer,
  'version' | 'startsPromptly' | 'switching' | 'agentSilent' | 'unresponsive' | 'slowLink'
>;

/**
 * Returns the servers that serve a version on which the request may begin and are not switching versions.
 *
 * A silent server of an older version may be frozen or unreachable, and begin the request only after the version
 * deadline; on a slow link the request may be delayed as much. Such a server is used only if there is no other, and
 * not at all close to the version deadline, when a delay of unknown length cannot be accepted.
 */
export function eligibleServers<Server extends VersionedServer>(
  servers: readonly Server[],
  requirements: ServerRequirements,
): Server[] {
  if (requirements.model === '') return [...servers];
  const eligible = servers.filter((server) => isEligible(server, requirements));
  const safe = eligible.filter((server) => !mayBeginTooLate(server, requirements));
  if (safe.length > 0) return safe;
  return eligible.filter((server) => server.version(requirements.model) >= requirements.preferredVersion);
}

function isEligible(server: VersionedServer, requirements: ServerRequirements): boolean {
  const version = server.version(requirements.model);
  const minVersion = server.startsPromptly ? requirements.minVersion : requirements.minVersionIfSlow;
  return version > 0 && version >= minVersion && !server.switching;
}

function mayBeginTooLate(server: VersionedServer, requirements: ServerRequirements): boolean {
  const isOutdated = server.version(requirements.model) < requirements.newestVersion;
  return isOutdated && (server.agentSilent || server.unresponsive || server.slowLink);
}
