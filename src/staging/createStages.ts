/** Creates the queue of the versions that a box loads, with the services that their exchanges use. */
import { httpToken } from '../protocol/authentication.js';
import type { StagingSettings } from '../settings/stagingSettings.js';
import type { Logger } from '../telemetry/logger.js';
import { RateLimiter } from '../utils/rateLimiter.js';
import { ChunkStore } from '../weights/chunkStore.js';
import type { ExchangeServices } from '../weights/exchangeServices.js';
import { PeerChunkClient } from '../weights/peerChunkClient.js';
import { ManifestReader } from './manifestReader.js';
import { initialOriginFetchers, originFetchOrder } from './originFetchSchedule.js';
import type { StageQueueOptions } from './stageQueue.js';
import { StageQueue } from './stageQueue.js';
import type { WatchedOrigin } from './watchedOrigin.js';
import { receiveRate } from './weightRates.js';

export interface CreateStagesOptions
  extends
    Pick<StageQueueOptions, 'stagingArea' | 'staged' | 'clock' | 'log' | 'members' | 'onOpened'>,
    Pick<ExchangeServices, 'peers' | 'uploads' | 'random'> {
  settings: StagingSettings;
  exchangeLogger: Logger;
  /** The origin of weights; undefined while its address is unknown. */
  origin: () => WatchedOrigin | undefined;
}

/** Maximum concurrent fetches from peers: few, so that the incoming link stays free for requests to the server. */
const FETCHES_AT_ONCE = 3;
/** Time of a gateway's turn to import a chunk: a fetch takes less on a working link, much more on a throttled one. */
const IMPORT_STEP_MILLISECONDS = 600;
export const STALL_MILLISECONDS = 1_500;

export function createStages(options: CreateStagesOptions): StageQueue {
  const { settings, random, log, members, origin } = options;
  const token = httpToken(settings.sharedKey, settings.box);
  return new StageQueue({
    ...options,
    bytesPerSecond: receiveRate(settings),
    versionMilliseconds: settings.versionMilliseconds,
    manifests: new ManifestReader({
      origin,
      box: settings.box,
      peers: () => members().filter((member) => member.box !== settings.box),
      originFetchers: (rollout) => initialOriginFetchers(originFetchOrder(rollout, members())),
      token,
      random,
      log,
    }),
    services: exchangeServices(options, token),
  });
}

function exchangeServices(options: CreateStagesOptions, token: string): ExchangeServices {
  const { settings, peers, uploads, clock, random, origin, exchangeLogger } = options;
  return {
    box: settings.box,
    store: new ChunkStore(settings.stagingMemoryBytes),
    peers,
    client: new PeerChunkClient(token),
    origin: {
      manifest: async (customer, model, version) => await origin()!.manifest(customer, model, version),
      read: async (range, signal) => await origin()!.read(range, signal),
    },
    uploads,
    bounds: {
      stallMilliseconds: STALL_MILLISECONDS,
      incoming: new RateLimiter(receiveRate(settings)),
      fetchesAtOnce: FETCHES_AT_ONCE,
      importStepMilliseconds: IMPORT_STEP_MILLISECONDS,
    },
    clock,
    random,
    logger: exchangeLogger,
  };
}
