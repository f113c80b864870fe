/** HTTP server that sends chunks and manifests of the versions on this box to other agents. */
import http from 'node:http';
import { senderOfToken } from '../protocol/authentication.js';
import type { Manifest } from '../protocol/manifest.js';
import { answerJson, bearerToken } from '../utils/httpBody.js';
import { closeHttp, listenHttp } from '../utils/httpServer.js';
import { errorText } from '../utils/stepError.js';
import type { UploadRequest } from '../weights/uploadOrder.js';
import type { UploadQueue } from '../weights/uploadQueue.js';

/** Options of a {@link ChunkServer}. */
export interface ChunkServerOptions {
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
  private readonly _server = http.createServer((request, response) => {
    this._serve(request, response).catch((error: unknown) =>
      answerJson(response, 400, { error: errorText(error) }, { connection: 'close' }),
    );
  });

  constructor(options: ChunkServerOptions) {
    this._options = options;
    this._server.keepAliveTimeout = KEEP_ALIVE_MILLISECONDS;
  }

  async listen(address: string, port: number): Promise<number> {
    return await listenHttp(this._server, address, port);
  }

  close(): void {
    closeHttp(this._server);
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
