import type { Origin } from '../external/origin.js';
import type { Logger } from '../telemetry/logger.js';
import type { Clock } from '../utils/clock.js';
import type { Random } from '../utils/random.js';
import type { AgentPeers } from './agentPeers.js';
import type { ChunkStore } from './chunkStore.js';
import type { TransferBounds } from './chunkSource.js';
import type { PeerChunkClient } from './peerChunkClient.js';
import type { UploadQueue } from './uploadQueue.js';

/** Dependencies that all exchanges of an agent share. */
export interface ExchangeServices {
  box: string;
  store: ChunkStore;
  peers: AgentPeers;
  client: PeerChunkClient;
  origin: Origin;
  uploads: UploadQueue;
  bounds: TransferBounds;
  clock: Clock;
  random: Random;
  logger: Logger;
  /** Whether fetches from peers may start now. They always may if this is absent. */
  mayFetchFromPeers?: () => boolean;
}
