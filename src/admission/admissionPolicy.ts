/** The interface of admission control: which request gets a slot under shortage, and when a rejected caller retries. */

import type { RetryTime } from './retryDelay.js';

/** Whether a request can still meet its objective, counted from its caller's first attempt. */
export type Timeliness = 'on-time' | 'late';

/** The policies that an operator can choose from. */
export const ADMISSION_KINDS = ['on-time-first', 'arrival-order'] as const;
export type AdmissionKind = (typeof ADMISSION_KINDS)[number];

/** Position of a request among those that compete for the slots of its service. */
export interface Precedence {
  timeliness: Timeliness;
  /** 0 is the most urgent. */
  rank: number;
}

/** A request as it arrives. */
export interface Arrival {
  service: string;
  route: string;
  /** Target time to the answer, or to the first event of a stream. */
  objectiveMilliseconds: number;
  /** Rank of the request, from 0 up to `ranks - 1`. */
  rank: number;
  /** Number of ranks of the service. */
  ranks: number;
  /** Milliseconds that the caller gives this attempt; undefined when it names no deadline. */
  deadlineMilliseconds: number | undefined;
  /** Monotonic milliseconds. */
  arrivedAt: number;
}

/** What admission control knows about a request. */
export interface AdmissionProfile {
  service: string;
  rank: number;
  ranks: number;
  objectiveMilliseconds: number;
  /** Estimated monotonic milliseconds of the caller's first attempt. */
  firstAttemptAt: number;
  /** Random number from 0 up to 1, which decides whether the request is among those that are rejected. */
  lot: number;
}

/** Load of the servers that a request may be sent to, as this entry knows it. */
export interface FleetLoad {
  /** Mean fill of the servers: 0 when they are empty, 1 when they are full; above 1 when requests queue there. */
  pressure: number;
  /** Number of entries that send to the servers. */
  entries: number;
}

/** Which slots a request may use. */
export interface SlotLimits {
  /** Share of each server's slots that the request has to leave to others; 1 when it must not be sent. */
  reservedShare: number;
  /** Whether to compare only few servers, as other entries see the same ones. */
  spread: boolean;
}

/** The limits of a request that may use all slots. */
export const NO_SLOT_LIMITS: SlotLimits = { reservedShare: 0, spread: false };

/** What became of a request when it asked for a slot. */
export type SlotOutcome = 'sent' | 'rejected';

/** A request that is rejected. */
export interface Rejection extends RetryTime {
  profile: AdmissionProfile;
  /** Whether it was rejected because servers have too few slots. */
  lacksSlot: boolean;
}

/** Decides on the requests of one entry. Implementations perform no I/O. */
export interface AdmissionPolicy {
  readonly kind: AdmissionKind;
  /** Classifies an arriving request, and learns from it. */
  admit(arrival: Arrival): AdmissionProfile;
  /** Returns the precedence of the request at `now`. */
  precedence(profile: AdmissionProfile, now: number): Precedence;
  /** Returns which slots the request may use. */
  slotLimits(profile: AdmissionProfile, load: FleetLoad, now: number): SlotLimits;
  /** Returns how long the request may wait for a slot, in milliseconds; 0 when it must be rejected immediately. */
  maxWait(profile: AdmissionProfile, now: number): number;
  /** Records whether a request got a slot. */
  noteOutcome(profile: AdmissionProfile, outcome: SlotOutcome, now: number): void;
  /** Returns the milliseconds after which the caller of a rejected request should retry. */
  retryDelay(rejection: Rejection, now: number): number;
}
