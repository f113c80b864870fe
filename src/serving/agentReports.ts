/** What the agents that this entry asks tell of the entries that are connected to them. */
import type { EntryAddress, EntryList } from '../protocol/boxMessages.js';
import { noticedWithin } from '../protocol/silence.js';
import type { Clock } from '../utils/clock.js';
import type { LivenessEvidence } from './liveEntryLog.js';

/** The connection to an agent, as far as the age of its word is concerned. */
export interface AgentActivity {
  /** Milliseconds since anything came from the agent. */
  readonly silentMilliseconds: number;
}

interface Subscription {
  activity: AgentActivity;
  /** Entries by box; undefined until the whole list has come. */
  entries: Map<string, EntryAddress> | undefined;
  /** Monotonic milliseconds of the last list. */
  heardAt: number;
}

/**
 * A report begins with the whole list that follows the question, and ends with the subscription or the connection. While an agent
 * is silent for longer than a connection may be, its report does not count, so that after a pause of this process nothing counts
 * that has not been confirmed since.
 */
export class AgentReports {
  private readonly _clock: Clock;
  private readonly _longestSilence: number;
  private readonly _subscriptions = new Map<string, Subscription>();

  constructor(clock: Clock, peerTimeoutMilliseconds: number) {
    this._clock = clock;
    this._longestSilence = noticedWithin(peerTimeoutMilliseconds);
  }

  /** The agent on `box` has been asked; what it told before, on whatever connection, no longer counts. */
  subscribe(box: string, activity: AgentActivity): void {
    this._subscriptions.set(box, { activity, entries: undefined, heardAt: Number.NEGATIVE_INFINITY });
  }

  /** The agent is no longer asked or connected. Returns its activity if it had a report. */
  unsubscribe(box: string): AgentActivity | undefined {
    const ended = this._subscriptions.get(box);
    this._subscriptions.delete(box);
    return ended?.entries && ended.activity;
  }

  /** Takes a list; one that nobody asked for, or that tells changes of a list that has not come, is passed over. */
  applyList(box: string, { whole, entries, gone }: Omit<EntryList, 'type'>): boolean {
    const subscription = this._subscriptions.get(box);
    if (!subscription) return false;
    if (whole) subscription.entries = new Map();
    const known = subscription.entries;
    if (!known) return false;
    for (const entry of entries) known.set(entry.box, entry);
    for (const left of gone) known.delete(left);
    subscription.heardAt = this._clock.now();
    return true;
  }

  /** Boxes of the agents whose reports count now. */
  validAgents(): string[] {
    return [...this._subscriptions]
      .filter(([, subscription]) => this._counts(subscription))
      .map(([box]) => box);
  }

  /** All entries that are named by a report that counts; one that leaves by any of them is marked so. */
  entries(): EntryAddress[] {
    const found = new Map<string, EntryAddress>();
    for (const { entries } of this._countedSubscriptions()) {
      for (const entry of entries?.values() ?? []) {
        if (!found.get(entry.box)?.leaving) found.set(entry.box, entry);
      }
    }
    return [...found.values()];
  }

  /** Which reports name the entry on `box`. */
  evidenceOf(box: string): LivenessEvidence {
    const naming = [...this._subscriptions].filter(
      ([, subscription]) => this._counts(subscription) && subscription.entries?.has(box),
    );
    return {
      agents: naming.map(([agent]) => agent),
      heardAt: Math.max(...naming.map(([, { heardAt }]) => heardAt)),
    };
  }

  private _countedSubscriptions(): Subscription[] {
    return [...this._subscriptions.values()].filter((subscription) => this._counts(subscription));
  }

  private _counts({ entries, activity }: Subscription): boolean {
    return entries !== undefined && activity.silentMilliseconds <= this._longestSilence;
  }
}
