/** The plan by which the boxes exchange the chunks of a version. All boxes compute the same one. */
import type { Manifest } from '../protocol/manifest.js';
import type { Member, PlanMessage } from '../protocol/rolloutMessages.js';

/** Returns the name of a rollout, which is the same at all boxes. */
export function rolloutName(model: string, version: number): string {
  return `${model}@${version}`;
}

/** Returns the plan of a version that is loaded by `members`. */
export function stagePlan(
  { model, version, manifest }: { model: string; version: number; manifest: Manifest },
  members: readonly Member[],
): PlanMessage {
  return {
    type: 'plan',
    call: 0,
    customer: '',
    configuration: model,
    epoch: 0,
    rollout: rolloutName(model, version),
    kind: 'model',
    model,
    version: String(version),
    manifestDigest: '',
    manifest,
    weight: 1,
    distribution: 'exchange',
    members: [...members],
  };
}
