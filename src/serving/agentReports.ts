/** Collects the entry lists that agents report to this entry: which entries are connected to each agent. */
import type { EntryAddress, EntryList } from '../protocol/boxMessages.js';
import { maximumDetectionMilliseconds } from '../protocol/livenessTimeouts.js';
import type { Clock } from '../utils/clock.js';
import type { LivenessEvidence } from './liveEntryLog.js';

/** Activity of the connection to an agent, used to judge whether its report is current. */
export interface AgentActivity {
  /** Milliseconds since the last data from the agent. */
  readonly silentMilliseconds: number;
}

interface Subscription {
  activity: AgentActivity;
  /** Entries by box; undefined until the complete list has arrived. */
  entries: Map<string, EntryAddress> | undefined;
  /** Monotonic milliseconds of the last update. */
  heardAt: number;
}

/**
 * A report starts with the complete list that follows a subscription, and ends with the subscription or the
 * connection. A report is invalid while its agent is silent for longer than the peer timeout allows, so that after
 * a pause of this process no report is used until its agent has been heard again.
 */
export class AgentReports {
  private readonly _clock: Clock;
  private readonly _maxSilenceMilliseconds: number;
  private readonly _subscriptions = new Map<string, Subscription>();

  constructor(clock: Clock, peerTimeoutMilliseconds: number) {
    this._clock = clock;
    this._maxSilenceMilliseconds = maximumDetectionMilliseconds(peerTimeoutMilliseconds);
  }

  /** Starts a subscription to the agent on `box` and drops its earlier report, from whichever connection it came. */
  subscribe(box: string, activity: AgentActivity): void {
    this._subscriptions.set(box, { activity, entries: undefined, heardAt: Number.NEGATIVE_INFINITY });
  }

  /** Ends the subscription to an agent. Returns the activity of the connection if the agent had a report. */
  unsubscribe(box: string): AgentActivity | undefined {
    const ended = this._subscriptions.get(box);
    this._subscriptions.delete(box);
    return ended?.entries && ended.activity;
  }

  /**
   * Applies a list; returns false if it was ignored. Lists without a subscription, and changes that arrive before the
   * complete list, are ignored.
   */
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

  /** Boxes of the agents whose reports are valid now. */
  validAgents(): string[] {
    return [...this._subscriptions]
      .filter(([, subscription]) => this._isValid(subscription))
      .map(([box]) => box);
  }

  /** All entries in valid reports; an entry that any of them marks as leaving is leaving. */
  entries(): EntryAddress[] {
    const found = new Map<string, EntryAddress>();
    for (const { entries } of this._validSubscriptions()) {
      for (const entry of entries?.values() ?? []) {
        if (!found.get(entry.box)?.leaving) found.set(entry.box, entry);
      }
    }
    return [...found.values()];
  }

  /** The valid reports that list the entry on `box`. */
  evidenceOf(box: string): LivenessEvidence {
    const listing = [...this._subscriptions].filter(
      ([, subscription]) => this._isValid(subscription) && subscription.entries?.has(box),
    );
    return {
      agents: listing.map(([agent]) => agent),
      heardAt: Math.max(...listing.map(([, { heardAt }]) => heardAt)),
    };
  }

  private _validSubscriptions(): Subscription[] {
    return [...this._subscriptions.values()].filter((subscription) => this._isValid(subscription));
  }

  private _isValid({ entries, activity }: Subscription): boolean {
    return entries !== undefined && activity.silentMilliseconds <= this._maxSilenceMilliseconds;
  }
}
