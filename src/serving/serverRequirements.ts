import type { PermittedRegions } from '../locality/permittedRegions.js';

/** Requirements of a request on the server that it is sent to. */
import type { FleetLoad, SlotLimits } from '../admission/admissionPolicy.js';

export interface ServerRequirements {
  service: string;
  /** Regions in which the request may run. */
  permittedRegions: PermittedRegions;
  /** The model; '' for services without one. */
  model: string;
  /** Lowest version on which the request may begin. */
  minVersion: number;
  /** The same for a server on which requests may take long to begin. */
  minVersionIfSlow: number;
  /** Servers below this version are used only if necessary. */
  preferredVersion: number;
  /** Newest version that has been announced. */
  newestVersion: number;
  /** Target time to the answer, or to the first event of a stream. */
  objectiveMilliseconds: number;
  /** Whether another server still runs the request, or broke off its answer, so that this one only continues it. */
  isContinuation: boolean;
  /** Returns which slots the request may use; all if absent. */
  slotLimits?: (load: FleetLoad) => SlotLimits;
  /** Ids of the servers that the request was already sent to. */
  tried: ReadonlySet<string>;
}
