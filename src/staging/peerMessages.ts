/** Passes messages of other agents to the exchanges, and keeps the switch stage that each box last reported. */
import type { Message } from '../protocol/message.js';
import type { Clock } from '../utils/clock.js';
import type { AgentPeersListener } from '../weights/agentPeers.js';
import type { RolloutExchange } from '../weights/rolloutExchange.js';
import { SwarmMessageHandler } from '../weights/swarmMessageHandler.js';
import type { SwitchPeer, SwitchStage } from './switchTurn.js';

interface ReportedStage {
  version: number;
  stage: SwitchStage;
  since: number;
}

export class PeerMessages implements AgentPeersListener {
  private readonly _swarm: SwarmMessageHandler;
  /** The last reports of connected boxes. */
  private readonly _stages = new Map<string, ReportedStage>();
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
   * Sets the boxes that {@link PeerMessages.stages} returns. Reports of the others are kept while they are connected,
   * since a box that leaves the list and comes back on the same connection does not report its stage again.
   */
  setPeers(boxes: readonly string[]): void {
    this._peers = new Set(boxes);
  }

  /** Returns the stages of the connected boxes of the service with respect to `version`. */
  stages(version: number): SwitchPeer[] {
    const now = this._clock.now();
    const peers = [...this._stages].filter(([box]) => this._peers.has(box));
    return peers.map(([box, known]) => ({
      box,
      stage: stageTowards(version, known),
      stageMilliseconds: now - known.since,
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
    this._stages.delete(box);
    this._swarm.onPeerDown(box);
  }

  onPeerMessage(box: string, message: Message): void {
    if (message.type === 'switch-state') {
      this._stages.set(box, { version: message.version, stage: message.state, since: this._clock.now() });
      return;
    }
    this._swarm.onPeerMessage(box, message);
  }
}

/**
 * Returns the stage of a box with respect to `version`. A box that reports an older version counts as staging, and
 * one that reports a newer version as serving, unless it is preparing or switching just now.
 */
function stageTowards(version: number, known: ReportedStage): SwitchStage {
  const isSwitching = known.stage === 'preparing' || known.stage === 'switching';
  if (isSwitching || known.version === version) return known.stage;
  return known.version > version ? 'serving' : 'staging';
}
