/** The options of an agent's control connections: its identity, shared key and timeout. */
import type { ControlOptions } from '../protocol/controlConnection.js';
import type { StagingSettings } from '../settings/stagingSettings.js';

export function controlOptions(settings: StagingSettings): ControlOptions {
  const { sharedKey, box, dataCentre, peerTimeoutMilliseconds } = settings;
  return { key: sharedKey, identity: { role: 'agent', box, dataCentre }, peerTimeoutMilliseconds };
}
