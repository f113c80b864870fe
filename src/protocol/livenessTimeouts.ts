/** How long a control connection may be silent. Pure. */
import type { Identity } from './handshake.js';

/**
 * Between agents silence counts as a loss later by this factor: they learn from entries who has gone, and each is connected
 * to many others. With 144 agents of which each has 28 peers, their heartbeats were a third of all.
 */
const AGENT_PAIR_TIMEOUT_FACTOR = 2;

/** How often a process looks after all its connections: one timer, since one for each wakes it hundreds of times a second. */
export const LIVENESS_CHECK_INTERVAL_MILLISECONDS = 200;
/** How long a silent connection has to show what already lies in its buffer. */
export const SILENCE_RECHECK_MILLISECONDS = 50;

/** Longest time from the last word of a peer to the end of its connection, in milliseconds, while this process runs. */
export function maximumDetectionMilliseconds(silenceMilliseconds: number): number {
  return silenceMilliseconds + LIVENESS_CHECK_INTERVAL_MILLISECONDS + SILENCE_RECHECK_MILLISECONDS;
}

/** Milliseconds of silence after which the peer counts as gone; the same at both ends of a connection. */
export function silenceTimeout(
  own: Identity['role'],
  peer: Identity['role'],
  peerTimeoutMilliseconds: number,
): number {
  const isAgentPair = own === 'agent' && peer === 'agent';
  return isAgentPair ? AGENT_PAIR_TIMEOUT_FACTOR * peerTimeoutMilliseconds : peerTimeoutMilliseconds;
}
