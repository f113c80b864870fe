/** Gauges of a gateway's metrics. */
import type { ServerSignals } from '../backpressure/serverSignals.js';
import { addControlGauges } from '../protocol/controlGauges.js';
import type { UnreadableRecords } from '../records/unreadableRecords.js';
import type { ClientLimits } from '../limits/clientLimits.js';
import type { EventLog } from '../telemetry/eventLog.js';
import type { ServingMetrics } from '../telemetry/servingMetrics.js';
import type { BoxLinks } from './boxLinks.js';
import type { CallerServer } from './callerServer.js';
import type { ConfigurationHolder } from './configurationHolder.js';
import type { EntryLocality } from './entryLocality.js';
import type { EntryDirectory } from './entryDirectory.js';
import type { PlatformFollowers } from './platformFollowers.js';

/** Sources of the gauges. */
export interface GatewayGaugesOptions {
  metrics: ServingMetrics;
  /** Number of requests that have been admitted and have not ended. */
  running: () => number;
  /** Number of requests that wait for a slot. */
  waiting: () => number;
  callers: CallerServer;
  limits: ClientLimits;
  configuration: ConfigurationHolder;
  links: BoxLinks;
  entries: EntryDirectory;
  followers: PlatformFollowers;
  locality: EntryLocality;
  signals: ServerSignals;
  unreadable: UnreadableRecords;
  log: EventLog;
}

/** Registers the gauges; each value is read when the metrics are requested. */
export function addGatewayGauges(options: GatewayGaugesOptions): void {
  const {
    metrics,
    running,
    waiting,
    callers,
    limits,
    configuration,
    links,
    entries,
    followers,
    signals,
    unreadable,
    log,
  } = options;
  addControlGauges(metrics);
  metrics.gauge('requests_running', running);
  metrics.gauge('requests_waiting', waiting);
  metrics.gauge('caller_connections', () => callers.connections);
  addClientGauges(metrics, limits);
  metrics.gauge('configuration_version', () => configuration.version);
  metrics.gauge('agents_connected', () => links.connected);
  metrics.gauge('entries_live', () => entries.live().length);
  metrics.gauge('entries_sharing', () => entries.count());
  metrics.gauge('reads_store', () => Number(followers.isReading));
  metrics.gauge('store_generation', () => followers.generation);
  metrics.gauge('records_retained', () => followers.retainedRecords);
  metrics.gauge('data_centres_evacuated', () => options.locality.evacuatedDataCentres);
  metrics.gauge('requests_suspected', () => followers.suspicions.counts.suspected);
  metrics.gauge('requests_shut_out', () => followers.suspicions.counts.shutOut);
  metrics.gauge('servers_limited', () => signals.counts.limited);
  metrics.gauge('servers_cold', () => signals.counts.cold);
  metrics.gauge('servers_leaving', () => signals.counts.leaving);
  metrics.gauge('servers_backing_off', () => signals.counts.backingOff);
  metrics.gauge('record_listeners', () => followers.relay.listeners);
  metrics.gauge('records_unreadable_total', () => unreadable.total);
  metrics.gauge('log_lines_dropped', () => log.droppedLines);
  metrics.gauge('memory_bytes', () => process.memoryUsage.rss());
}

function addClientGauges(metrics: ServingMetrics, limits: ClientLimits): void {
  metrics.gauge('client_memory_bytes', () => limits.memory.bytes);
  metrics.gauge('client_memory_evictions_total', () => limits.memory.evicted);
  metrics.gauge('client_memory_refusals_total', () => limits.memory.refused);
  metrics.gauge('client_connections_closed_total', () => limits.connectionsClosed);
}
