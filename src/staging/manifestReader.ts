/** Reads the manifest of a version from the origin, or from another agent if the origin does not answer. */
import type { Origin } from '../external/origin.js';
import { sendJson } from '../external/httpClient.js';
import type { Manifest } from '../protocol/manifest.js';
import { manifestSchema } from '../protocol/manifest.js';
import type { Member } from '../protocol/rolloutMessages.js';
import type { EventLog } from '../telemetry/eventLog.js';
import { Backoff } from '../utils/backoff.js';
import type { Random } from '../utils/random.js';
import { shuffled } from '../utils/random.js';
import { errorText } from '../utils/stepError.js';
import { pause } from '../utils/timers.js';

/** Options of a {@link ManifestReader}. */
export interface ManifestReaderOptions {
  /** Undefined while the address of the origin is unknown. */
  origin: () => Origin | undefined;
  /** Other agents of the service. */
  peers: () => readonly Member[];
  /** Boxes that fetch a rollout from the origin first. Other boxes ask these for the manifest. */
  originFetchers: (rollout: string) => readonly string[];
  box: string;
  token: string;
  random: Random;
  log: EventLog;
}

const RETRY = { firstMilliseconds: 60, longestMilliseconds: 500 };
const PEER_TIMEOUT_MILLISECONDS = 800;
const MAX_PEERS_ASKED = 3;
/** Rounds in which a box that is not an origin fetcher asks only other agents, before it asks the origin too. */
const PEER_ONLY_ROUNDS = 5;

export class ManifestReader {
  private readonly _options: ManifestReaderOptions;

  constructor(options: ManifestReaderOptions) {
    this._options = options;
  }

  /** Retries until a manifest is found or `signal` is aborted. */
  async read(
    model: string,
    version: number,
    rollout: string,
    signal: AbortSignal,
  ): Promise<Manifest | undefined> {
    const backoff = new Backoff(RETRY, this._options.random);
    const fetchers = this._options.originFetchers(rollout);
    const isOriginFetcher = fetchers.length === 0 || fetchers.includes(this._options.box);
    for (let round = 0; !signal.aborted; round++) {
      const mayAskOrigin = isOriginFetcher || round >= PEER_ONLY_ROUNDS;
      const atOrigin = mayAskOrigin ? await this._fromOrigin(model, version) : undefined;
      const found = atOrigin ?? (await this._fromPeers(rollout, fetchers));
      if (found) return found;
      await pause(backoff.nextWait(), signal);
    }
    return undefined;
  }

  private async _fromOrigin(model: string, version: number): Promise<Manifest | undefined> {
    const origin = this._options.origin();
    if (!origin) return undefined;
    try {
      return await origin.manifest('', model, String(version));
    } catch (error) {
      this._options.log.decision('manifest.failed', { model, version, reason: errorText(error) });
      return undefined;
    }
  }

  /** Asks a few agents, starting with one that fetches from the origin. */
  private async _fromPeers(rollout: string, fetchers: readonly string[]): Promise<Manifest | undefined> {
    const { peers, random } = this._options;
    const candidates = shuffled(peers(), random);
    const fetcher = candidates.find((member) => fetchers.includes(member.box));
    const others = candidates.filter((member) => member !== fetcher);
    for (const member of [...(fetcher ? [fetcher] : []), ...others].slice(0, MAX_PEERS_ASKED)) {
      const found = await this._fromPeer(member, rollout);
      if (found) return found;
    }
    return undefined;
  }

  private async _fromPeer(member: Member, rollout: string): Promise<Manifest | undefined> {
    try {
      const answer = await sendJson({
        step: 'manifest.peer',
        method: 'GET',
        url: `http://${member.address}:${member.httpPort}/manifests/${encodeURIComponent(rollout)}`,
        headers: { authorization: `Bearer ${this._options.token}` },
        timeoutMilliseconds: PEER_TIMEOUT_MILLISECONDS,
      });
      const parsed = manifestSchema.safeParse(answer.body);
      return answer.status === 200 && parsed.success ? parsed.data : undefined;
    } catch {
      return undefined;
    }
  }
}
