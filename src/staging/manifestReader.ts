/** Finds the manifest of a version: at the origin, or at another agent when the origin does not answer. */
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

/** What the reader works with. */
export interface ManifestReaderOptions {
  /** Undefined while it is not known where the origin is. */
  origin: () => Origin | undefined;
  /** Other agents of the service. */
  peers: () => readonly Member[];
  /** Boxes that read the origin; the others ask them. */
  downloaders: (rollout: string) => readonly string[];
  box: string;
  token: string;
  random: Random;
  log: EventLog;
}

const RETRY = { firstMilliseconds: 60, longestMilliseconds: 500 };
const PEER_TIMEOUT_MILLISECONDS = 800;
const PEERS_ASKED = 3;
/** Rounds after which a box that does not draw asks the origin all the same. */
const PATIENT_ROUNDS = 5;

export class ManifestReader {
  private readonly _options: ManifestReaderOptions;

  constructor(options: ManifestReaderOptions) {
    this._options = options;
  }

  /** Tries until there is a manifest or `signal` is aborted. */
  async read(
    model: string,
    version: number,
    rollout: string,
    signal: AbortSignal,
  ): Promise<Manifest | undefined> {
    const backoff = new Backoff(RETRY, this._options.random);
    const drawers = this._options.downloaders(rollout);
    const isDrawer = drawers.length === 0 || drawers.includes(this._options.box);
    for (let round = 0; !signal.aborted; round++) {
      const mayAskOrigin = isDrawer || round >= PATIENT_ROUNDS;
      const atOrigin = mayAskOrigin ? await this._fromOrigin(model, version) : undefined;
      const found = atOrigin ?? (await this._fromPeers(rollout, drawers));
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

  /** Asks a few, one that draws first. */
  private async _fromPeers(rollout: string, drawers: readonly string[]): Promise<Manifest | undefined> {
    const { peers, random } = this._options;
    const mixed = shuffled(peers(), random);
    const drawer = mixed.find((member) => drawers.includes(member.box));
    const others = mixed.filter((member) => member !== drawer);
    for (const member of [...(drawer ? [drawer] : []), ...others].slice(0, PEERS_ASKED)) {
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
