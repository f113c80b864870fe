/** The metrics of an agent. */
import { addControlGauges } from '../protocol/controlGauges.js';
import type { EventLog } from '../telemetry/eventLog.js';
import { ServingMetrics } from '../telemetry/servingMetrics.js';
import type { TransferCounts } from '../weights/transferCounts.js';
import type { UploadQueue } from '../weights/uploadQueue.js';
import type { StageQueue } from './stageQueue.js';
import { LOAD_RESULTS } from './versionLoad.js';
import type { VersionReconciler } from './versionReconciler.js';

/** Sources that the metrics are read from. */
export interface StagingMetricSources {
  stages: StageQueue;
  reconciler: VersionReconciler;
  uploads: UploadQueue;
  log: EventLog;
  /** Number of connected entries. */
  entries: () => number;
  /** Milliseconds for which the origin has not answered. */
  originLostFor: () => number;
}

/** Creates the metrics of the newest version that is being loaded, and of the process. */
export function stagingMetrics({
  stages,
  reconciler,
  uploads,
  log,
  entries,
  originLostFor,
}: StagingMetricSources): ServingMetrics {
  const metrics = new ServingMetrics();
  const counts = (): TransferCounts | undefined => stages.stages.at(-1)?.exchange.counts;
  metrics.gauge('version_wanted', () => stages.targetVersion);
  metrics.gauge('version_serving', () => reconciler.servedVersion);
  metrics.gauge('version_confirmed', () => reconciler.confirmedLoad?.version ?? 0);
  for (const result of LOAD_RESULTS)
    metrics.gauge(`version_loads{result="${result}"}`, () => reconciler.loadCount(result));
  metrics.gauge('version_held_share', () => stages.stages.at(-1)?.heldShare ?? 0);
  metrics.gauge('version_origin_bytes', () => counts()?.originBytes ?? 0);
  metrics.gauge('version_peer_bytes', () => counts()?.peerBytes ?? 0);
  metrics.gauge('version_cross_data_centre_bytes', () => counts()?.crossDataCentreBytes ?? 0);
  metrics.gauge('version_corrupt_chunks', () => counts()?.corruptChunks ?? 0);
  metrics.gauge('version_missing_chunks', () => stages.stages.at(-1)?.exchange.held.missing().length ?? 0);
  metrics.gauge(
    'version_unavailable_chunks',
    () => stages.stages.at(-1)?.exchange.unavailableChunks().length ?? 0,
  );
  metrics.gauge('version_overdue_chunks', () => counts()?.overdueChunks ?? 0);
  metrics.gauge('uploaded_bytes', () => uploads.bytesSent);
  metrics.gauge('entries_connected', entries);
  metrics.gauge('origin_lost_milliseconds', originLostFor);
  addControlGauges(metrics);
  metrics.gauge('log_lines_dropped', () => log.droppedLines);
  metrics.gauge('memory_bytes', () => process.memoryUsage.rss());
  return metrics;
}
