import type { Message } from '../protocol/message.js';
import type { AgentPeersListener } from './agentPeers.js';
import type { RolloutExchange } from './rolloutExchange.js';
import { LRUCache } from 'lru-cache';

/** Most joins that are kept for rollouts whose plan has not reached this box yet. */
const MAXIMUM_EARLY_JOINS = 4_096;

/** Passes messages between agents to the exchange of their rollout. Keeps joins that arrive before the plan. */
export class SwarmMessageHandler implements AgentPeersListener {
  private readonly _exchanges: () => RolloutExchange[];
  private readonly _earlyJoins = new LRUCache<string, Uint8Array>({ max: MAXIMUM_EARLY_JOINS });

  constructor(exchanges: () => RolloutExchange[]) {
    this._exchanges = exchanges;
  }

  onPeerUp(box: string): void {
    for (const exchange of this._exchanges()) exchange.onPeerUp(box);
  }

  onPeerDown(box: string): void {
    for (const exchange of this._exchanges()) exchange.onPeerDown(box);
    for (const key of [...this._earlyJoins.keys()]) {
      if (key.startsWith(`${box}/`)) this._earlyJoins.delete(key);
    }
  }

  onPeerMessage(box: string, message: Message): void {
    if (message.type !== 'swarm-join' && message.type !== 'have') return;
    const exchange = this._exchanges().find((candidate) => candidate.rollout === message.rollout);
    if (message.type === 'have') exchange?.onPeerHave(box, message.chunks, message.uploadQueue);
    else if (exchange) exchange.onPeerJoin(box, message.held);
    else this._earlyJoins.set(`${box}/${message.rollout}`, message.held);
  }

  /** Delivers joins that arrived before the plan of their rollout. */
  replayEarlyJoins(): void {
    for (const exchange of this._exchanges()) {
      for (const { member } of exchange.neighbours) {
        const key = `${member.box}/${exchange.rollout}`;
        const held = this._earlyJoins.get(key);
        if (!held) continue;
        this._earlyJoins.delete(key);
        exchange.onPeerJoin(member.box, held);
      }
    }
  }
}
