/** Hands messages of other agents to the exchange, and remembers where each box stands on the way to a version. */
import type { Message } from '../protocol/message.js';
import type { Clock } from '../utils/clock.js';
import type { AgentPeersListener } from '../weights/agentPeers.js';
import type { RolloutExchange } from '../weights/rolloutExchange.js';
import { SwarmMessageHandler } from '../weights/swarmMessageHandler.js';
import type { SwitchPeer, SwitchStage } from './switchTurn.js';

interface KnownStage {
  version: number;
  stage: SwitchStage;
  since: number;
}

export class PeerMessages implements AgentPeersListener {
  private readonly _swarm: SwarmMessageHandler;
  /** What connected boxes told last. */
  private readonly _stages = new Map<string, KnownStage>();
  private readonly _clock: Clock;
  private readonly _onUp: (box: string) => void;
  private _wanted = new Set<string>();

  /** `onUp` is called for each box that has been connected. */
  constructor(exchanges: () => RolloutExchange[], clock: Clock, onUp: (box: string) => void) {
    this._clock = clock;
    this._onUp = onUp;
    this._swarm = new SwarmMessageHandler(exchanges);
  }

  /**
   * Counts only these boxes from now on. What the others told is kept for as long as they are connected: a box that is listed
   * again in a moment has nothing new to tell.
   */
  setPeers(boxes: readonly string[]): void {
    this._wanted = new Set(boxes);
  }

  /** Where the connected boxes of the service stand on the way to `version`. */
  stages(version: number): SwitchPeer[] {
    const now = this._clock.now();
    const wanted = [...this._stages].filter(([box]) => this._wanted.has(box));
    return wanted.map(([box, known]) => ({
      box,
      stage: stageTowards(version, known),
      stageMilliseconds: now - known.since,
    }));
  }

  /** Replays what came before the exchange was there. */
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

/** One that has not heard of the version is staging, one that is beyond it serves, unless it has its turn just now. */
function stageTowards(version: number, known: KnownStage): SwitchStage {
  const isOnItsTurn = known.stage === 'preparing' || known.stage === 'switching';
  if (isOnItsTurn || known.version === version) return known.stage;
  return known.version > version ? 'serving' : 'staging';
}
