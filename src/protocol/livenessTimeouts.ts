/** Timeouts after which a silent control connection counts as lost. */
import type { Identity } from './handshake.js';

/**
 * The silence timeout between two agents is longer by this factor. Agents learn from entries which boxes are gone, and
 * each agent is connected to many others: with 144 agents of 28 peers each, heartbeats were a third of all messages
 * between agents.
 */
const AGENT_PAIR_TIMEOUT_FACTOR = 2;

/**
 * Interval at which a process checks all its connections. They share one timer, since a timer for each would wake the
 * process hundreds of times per second.
 */
export const LIVENESS_CHECK_INTERVAL_MILLISECONDS = 200;
/** Time to read data that is already in the socket's buffer before a silent connection is closed. */
export const SILENCE_RECHECK_MILLISECONDS = 50;

/** Returns the longest time between the last data of a peer and the close of its connection by a running process. */
export function maximumDetectionMilliseconds(silenceMilliseconds: number): number {
  return silenceMilliseconds + LIVENESS_CHECK_INTERVAL_MILLISECONDS + SILENCE_RECHECK_MILLISECONDS;
}

/** Returns the silence in milliseconds after which the peer counts as lost; the same at both ends of a connection. */
export function silenceTimeout(
  own: Identity['role'],
  peer: Identity['role'],
  peerTimeoutMilliseconds: number,
): number {
  const isAgentPair = own === 'agent' && peer === 'agent';
  return isAgentPair ? AGENT_PAIR_TIMEOUT_FACTOR * peerTimeoutMilliseconds : peerTimeoutMilliseconds;
}
