/** What a gateway needs besides its settings. */
import type { EventLog } from '../telemetry/eventLog.js';
import type { DirectoryPaths } from './directoryServer.js';
import type { HeaderNames } from './headerNames.js';
import type { ServingPlatform } from './platformRecords.js';

/** Dependencies of a gateway besides its settings. */
export interface GatewayParts {
  platform: ServingPlatform;
  names: HeaderNames;
  paths: DirectoryPaths;
  log: EventLog;
}
