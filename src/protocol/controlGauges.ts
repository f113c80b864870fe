/** Metrics of the traffic on all control connections of a process. */
import { ControlConnection } from './controlConnection.js';

interface GaugeRegistry {
  gauge(name: string, read: () => number): void;
}

export function addControlGauges(metrics: GaugeRegistry): void {
  metrics.gauge('control_messages_sent', () => ControlConnection.framesSent);
  metrics.gauge('control_messages_received', () => ControlConnection.framesReceived);
  metrics.gauge('control_bytes', () => ControlConnection.totalBytes);
}
