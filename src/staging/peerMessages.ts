/** Passes messages of other agents to the exchanges, and keeps the switch phase that each box last reported. */
import type { Message } from '../protocol/message.js';
import type { Clock } from '../utils/clock.js';
import type { AgentPeersListener } from '../weights/agentPeers.js';
import type { RolloutExchange } from '../weights/rolloutExchange.js';
import { SwarmMessageHandler } from '../weights/swarmMessageHandler.js';
import type { SwitchPeer, SwitchPhase } from './switchTurn.js';

interface ReportedPhase {
  version: number;
  phase: SwitchPhase;
  since: number;
}

export class PeerMessages implements AgentPeersListener {
  private readonly _swarm: SwarmMessageHandler;
  /** The last reports of connected boxes. */
  private readonly _phases = new Map<string, ReportedPhase>();
  private readonly _clock: Clock;
  private readonly _onUp: (box: string) => void;
  private _peers = new Set<string>();

  /** `onUp` is called for each box that connects. */
  constructor(exchanges: () => RolloutExchange[], clock: Clock, onUp: (box: string) => void) {
    this._clock = clock;
    this._onUp = onUp;
    this._swarm = new SwarmMessageHandler(exchanges);
  }

  /**
   * Sets the boxes that {@link PeerMessages.phases} returns. Reports of the others are kept while they are connected,
   * since a box that leaves the list and comes back on the same connection does not report its phase again.
   */
  setPeers(boxes: readonly string[]): void {
    this._peers = new Set(boxes);
  }

  /**
   * Records that this process was paused: what the other boxes reported in that time is unread, so that their phases
   * are not known to have lasted meanwhile.
   */
  onPaused(milliseconds: number): void {
    for (const known of this._phases.values()) known.since += milliseconds;
  }

  /** Returns the phases of the connected boxes of the service with respect to `version`. */
  phases(version: number): SwitchPeer[] {
    const now = this._clock.now();
    const peers = [...this._phases].filter(([box]) => this._peers.has(box));
    return peers.map(([box, known]) => ({
      box,
      phase: phaseTowards(version, known),
      phaseMilliseconds: now - known.since,
    }));
  }

  /** Replays messages that arrived before their exchange was created. */
  replay(): void {
    this._swarm.replayEarlyJoins();
  }

  onPeerUp(box: string): void {
    this._onUp(box);
    this._swarm.onPeerUp(box);
  }

  onPeerDown(box: string): void {
    this._phases.delete(box);
    this._swarm.onPeerDown(box);
  }

  onPeerMessage(box: string, message: Message): void {
    if (message.type === 'switch-state') {
      this._phases.set(box, { version: message.version, phase: message.state, since: this._clock.now() });
      return;
    }
    this._swarm.onPeerMessage(box, message);
  }
}

/**
 * Returns the phase of a box with respect to `version`. A box that reports an older version counts as staging, and
 * one that reports a newer version as serving, unless it is preparing or switching just now.
 */
function phaseTowards(version: number, known: ReportedPhase): SwitchPhase {
  const isSwitching = known.phase === 'preparing' || known.phase === 'switching';
  if (isSwitching || known.version === version) return known.phase;
  return known.version > version ? 'serving' : 'staging';
}
