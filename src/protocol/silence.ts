/** How long a control connection may be silent. Pure. */
import type { Identity } from './handshake.js';

/**
 * Between agents silence counts as a loss later by this factor: they learn from entries who has gone, and each is connected
 * to many others. With 144 agents of which each has 28 peers, their heartbeats were a third of all.
 */
const AGENT_PAIR_PATIENCE = 2;

/** How often a process looks after all its connections: one timer, since one for each wakes it hundreds of times a second. */
export const CARE_INTERVAL_MILLISECONDS = 200;
/** How long a silent connection has to show what already lies in its buffer. */
export const SECOND_LOOK_MILLISECONDS = 50;

/** Longest time from the last word of a peer to the end of its connection, in milliseconds, while this process runs. */
export function noticedWithin(silenceMilliseconds: number): number {
  return silenceMilliseconds + CARE_INTERVAL_MILLISECONDS + SECOND_LOOK_MILLISECONDS;
}

/** Milliseconds of silence after which the peer counts as gone; the same at both ends of a connection. */
export function allowedSilence(
  own: Identity['role'],
  peer: Identity['role'],
  peerTimeoutMilliseconds: number,
): number {
  const isAgentPair = own === 'agent' && peer === 'agent';
  return isAgentPair ? AGENT_PAIR_PATIENCE * peerTimeoutMilliseconds : peerTimeoutMilliseconds;
}
