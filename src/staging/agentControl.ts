/** How an agent makes itself known on control connections. */
import type { ControlOptions } from '../protocol/controlConnection.js';
import type { StagingSettings } from '../settings/stagingSettings.js';

export function controlOptions(settings: StagingSettings): ControlOptions {
  const { sharedKey, box, dataCentre, peerTimeoutMilliseconds } = settings;
  return { key: sharedKey, identity: { role: 'agent', box, dataCentre }, peerTimeoutMilliseconds };
}
