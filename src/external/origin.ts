/** The origin of weights: serves manifests and byte ranges of versions. */
import { z } from 'zod';
import { Agent, request } from 'undici';
import { manifestSchema } from '../protocol/manifest.js';
import type { Manifest } from '../protocol/manifest.js';
import { answerConnector } from '../utils/answerConnector.js';
import { StepError, errorText } from '../utils/stepError.js';
import { sendJson } from './httpClient.js';

/** A byte range of a version. */
export interface OriginRange {
  customer: string;
  model: string;
  version: string;
  /** Offset in the version's blob, in bytes. */
  offset: number;
  length: number;
}

export interface Origin {
  /** Throws a StepError if the version doesn't exist or the origin doesn't answer. */
  manifest(customer: string, model: string, version: string): Promise<Manifest>;
  /** Streams a range. Throws a StepError if the request fails. The stream fails when the signal is aborted. */
  read(range: OriginRange, signal: AbortSignal): Promise<AsyncIterable<Buffer>>;
}

const MANIFEST_TIMEOUT_MILLISECONDS = 5_000;
const PARTIAL_CONTENT = 206;

/** Reads from the origin at `baseUrl` with range requests. */
export class HttpOrigin implements Origin {
  private readonly _baseUrl: string;
  private readonly _dispatcher = new Agent({ connections: 8, pipelining: 1, connect: answerConnector() });

  constructor(baseUrl: string) {
    this._baseUrl = baseUrl;
  }

  async manifest(customer: string, model: string, version: string): Promise<Manifest> {
    const url = `${this._baseUrl}/weights/${customer}/${model}/${version}/manifest`;
    const answer = await sendJson({
      step: 'origin.manifest',
      method: 'GET',
      url,
      timeoutMilliseconds: MANIFEST_TIMEOUT_MILLISECONDS,
    });
    if (answer.status !== 200)
      throw new StepError('origin.manifest', `status ${answer.status} for ${model} ${version}`);
    const parsed = manifestSchema.safeParse(answer.body);
    if (!parsed.success)
      throw new StepError('origin.manifest', `bad manifest: ${z.prettifyError(parsed.error)}`);
    return parsed.data;
  }

  async read(range: OriginRange, signal: AbortSignal): Promise<AsyncIterable<Buffer>> {
    const url = `${this._baseUrl}/weights/${range.customer}/${range.model}/${range.version}/data`;
    const last = range.offset + range.length - 1;
    try {
      const headers = { range: `bytes=${range.offset}-${last}` };
      const answer = await request(url, { headers, dispatcher: this._dispatcher, signal });
      if (answer.statusCode === PARTIAL_CONTENT) return answer.body;
      await answer.body.dump();
      throw new StepError('origin.read', `status ${answer.statusCode}`);
    } catch (error) {
      throw new StepError('origin.read', errorText(error), { peer: new URL(url).host, cause: error });
    }
  }
}
