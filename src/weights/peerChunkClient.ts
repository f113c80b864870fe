/** Fetches chunks from other agents over HTTP. */
import { Agent, request } from 'undici';
import { HEADER } from '../protocol/headers.js';
import type { Member } from '../protocol/rolloutMessages.js';
import { answerConnector } from '../utils/answerConnector.js';
import { StepError, errorText } from '../utils/stepError.js';

/** The upload queue of the peer is full: retry later or at another peer. */
export class PeerBusyError extends StepError {}

/** The body of a chunk, and the length of the peer's upload queue. */
export interface PeerChunk {
  body: AsyncIterable<Buffer>;
  uploadQueue: number;
}

const BUSY_STATUS = 503;

/** Requests chunks from peers. `token` authenticates this box. */
export class PeerChunkClient {
  private readonly _token: string;
  private readonly _dispatcher = new Agent({
    connections: 4,
    pipelining: 1,
    connect: answerConnector(2_000),
  });

  constructor(token: string) {
    this._token = token;
  }

  async open(member: Member, rollout: string, chunk: number, signal: AbortSignal): Promise<PeerChunk> {
    const url = `http://${member.address}:${member.httpPort}/chunks/${encodeURIComponent(rollout)}/${chunk}`;
    const headers = { authorization: `Bearer ${this._token}` };
    const answer = await this._request(url, headers, signal, member.box);
    const uploadQueue = Number(answer.headers[HEADER.uploadQueue] ?? 0);
    if (answer.statusCode === 200) return { body: answer.body, uploadQueue };
    await answer.body.dump();
    if (answer.statusCode === BUSY_STATUS)
      throw new PeerBusyError('chunk.fetch', 'busy', { peer: member.box });
    throw new StepError('chunk.fetch', `status ${answer.statusCode}`, { peer: member.box });
  }

  private async _request(
    url: string,
    headers: Record<string, string>,
    signal: AbortSignal,
    peer: string,
  ): ReturnType<typeof request> {
    try {
      return await request(url, { headers, dispatcher: this._dispatcher, signal });
    } catch (error) {
      throw new StepError('chunk.fetch', errorText(error), { peer, cause: error });
    }
  }
}
