/** Computes the cost parameters of the requests of a service, by which servers are compared. */
import type { ServiceCost } from './serverChoice.js';
import type { EngineDescription } from './servingConfiguration.js';

/** Cost parameters of services without a model engine, whose servers slow down when they are nearly full. */
const PLAIN_COST: ServiceCost = {
  serviceMilliseconds: 60,
  readMilliseconds: 0,
  typicalFirstByteMilliseconds: 100,
  maxFill: 3,
  batchSlowdown: 0.25,
  tieMilliseconds: 0,
};
/** Typical number of prompts read and of steps taken by a server before the first event of a stream. */
const TYPICAL_FIRST_READS = 3;
const TYPICAL_FIRST_STEPS = 12;
/** Cost differences below this many prompts are ignored, since another entry may just have sent one. */
const TIE_PROMPTS = 0.8;
/** A request beyond the batch waits for another to end, for several times its objective, and delays all later ones. */
const MAX_ENGINE_FILL = 1;
/**
 * Higher for streams that are handed over, or resumed after a server broke them off: they were admitted already, and
 * a pending handover delays a version switch.
 */
const MAX_CONTINUATION_FILL = 1.1;

/** `isContinuation`: the request was admitted before, and only continues on another server. */
export function serviceCost(engine: EngineDescription | undefined, isContinuation: boolean): ServiceCost {
  if (!engine) return PLAIN_COST;
  const reading = engine.meanPromptTokens / (engine.readTokensPerSecond / 1000);
  const writing = engine.meanAnswerTokens * engine.stepMilliseconds;
  const typicalFirstByteMilliseconds =
    TYPICAL_FIRST_READS * reading + TYPICAL_FIRST_STEPS * engine.stepMilliseconds;
  return {
    serviceMilliseconds: reading + writing,
    readMilliseconds: reading,
    typicalFirstByteMilliseconds,
    maxFill: isContinuation ? MAX_CONTINUATION_FILL : MAX_ENGINE_FILL,
    batchSlowdown: 0,
    tieMilliseconds: reading * TIE_PROMPTS,
  };
}
