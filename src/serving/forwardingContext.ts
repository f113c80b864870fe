/** Dependencies shared by all requests of a gateway. */
import type { AdmissionPolicy } from '../admission/admissionPolicy.js';
import type { SuspicionTracker } from '../crashes/suspicionTracker.js';
import type { EventLog } from '../telemetry/eventLog.js';
import type { ServingMetrics } from '../telemetry/servingMetrics.js';
import type { Clock } from '../utils/clock.js';
import type { Random } from '../utils/random.js';
import type { EntryDrain } from './entryDrain.js';
import type { HeaderNames } from './headerNames.js';
import type { ServerPool } from './serverPool.js';
import type { UnframedServices } from './unframedServices.js';
import type { VersionGate } from './versionGate.js';

export interface ForwardingContext {
  names: HeaderNames;
  pool: ServerPool;
  admission: AdmissionPolicy;
  gate: VersionGate;
  suspicions: SuspicionTracker;
  drain: EntryDrain;
  unframed: UnframedServices;
  clock: Clock;
  random: Random;
  log: EventLog;
  metrics: ServingMetrics;
}
