/** HTTP server that sends chunks and manifests of the versions on this box to other agents. */
import type http from 'node:http';
import type { ClientLimits } from '../limits/clientLimits.js';
import { LimitedServer } from '../limits/limitedServer.js';
import { senderOfToken } from '../protocol/authentication.js';
import type { Manifest } from '../protocol/manifest.js';
import { answerJson, bearerToken } from '../utils/httpBody.js';
import { errorText } from '../utils/stepError.js';
import type { UploadRequest } from '../weights/uploadOrder.js';
import type { UploadQueue } from '../weights/uploadQueue.js';

/** Options of a {@link ChunkServer}. */
export interface ChunkServerOptions {
  limits: ClientLimits;
  sharedKey: string;
  uploads: UploadQueue;
  /** Returns a chunk that this box has and has verified. */
  chunk: (rollout: string, chunk: number) => Buffer | undefined;
  manifest: (rollout: string) => Manifest | undefined;
  /** Returns the upload priority and rank of chunks of a rollout for a box. */
  priority: (box: string, rollout: string) => Pick<UploadRequest, 'priority' | 'rank'>;
}

const KEEP_ALIVE_MILLISECONDS = 30_000;

export class ChunkServer {
  private readonly _options: ChunkServerOptions;
  private readonly _server: LimitedServer;

  constructor(options: ChunkServerOptions) {
    this._options = options;
    const limited = { limits: options.limits, keepAliveMilliseconds: KEEP_ALIVE_MILLISECONDS };
    this._server = new LimitedServer(limited, (request, response) => {
      this._serve(request, response).catch((error: unknown) =>
        answerJson(response, 400, { error: errorText(error) }, { connection: 'close' }),
      );
    });
  }

  async listen(address: string, port: number): Promise<number> {
    return await this._server.listen(address, port);
  }

  close(): void {
    this._server.close();
  }

  private async _serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const { sharedKey, chunk, manifest, uploads, priority } = this._options;
    const sender = senderOfToken(sharedKey, bearerToken(request));
    if (sender === undefined) {
      return answerJson(response, 401, { error: 'the shared key is missing or wrong' });
    }
    const [, kind, rollout = '', index = ''] = (request.url ?? '/').split('/');
    const name = decodeURIComponent(rollout);
    if (kind === 'manifests') {
      const found = manifest(name);
      return found
        ? answerJson(response, 200, found)
        : answerJson(response, 404, { error: 'no such rollout' });
    }
    const data = kind === 'chunks' ? chunk(name, Number(index)) : undefined;
    if (!data) return answerJson(response, 404, { error: 'no such chunk' });
    await uploads.send(response, data, { chunk: `${name}/${index}`, ...priority(sender, name) });
  }
}
