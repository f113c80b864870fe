import type { Dispatcher } from 'undici';
import { Client } from 'undici';
import { answerConnector } from '../utils/answerConnector.js';
import { StepError, errorText } from '../utils/stepError.js';
import { BoundedBody } from './boundedBody.js';

export interface KeepAliveCall {
  step: string;
  method: 'GET' | 'PUT';
  path: string;
  body?: Buffer;
  /** A longer answer fails, and its connection is closed. */
  maximumBytes: number;
}

export interface KeepAliveAnswer {
  status: number;
  bytes: Buffer;
}

/** An answer has to be whole within this multiple of the time for which its peer may be silent. */
const WHOLE_ANSWER_TIMEOUTS = 2;

/**
 * Sends repeated calls to one peer over one persistent connection. `sendJson` parses a URL and creates a signal, a
 * timer and a stream for each call. For an agent that polls its backend server eight times a second, this client
 * reduces the CPU time per call from 1.5 ms to 1.0 ms.
 */
export class KeepAliveClient {
  private readonly _address: string;
  private readonly _client: Client;
  private readonly _answerMilliseconds: number;
  private _pending = 0;

  /**
   * `address` is host:port. A call fails if no data arrives for `timeoutMilliseconds`, possibly one second late, or if its
   * answer takes twice that time.
   */
  constructor(address: string, timeoutMilliseconds: number) {
    this._address = address;
    this._answerMilliseconds = timeoutMilliseconds * WHOLE_ANSWER_TIMEOUTS;
    this._client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: timeoutMilliseconds,
      bodyTimeout: timeoutMilliseconds,
      connect: answerConnector(timeoutMilliseconds),
    });
  }

  /** Number of calls without an answer yet. */
  get pending(): number {
    return this._pending;
  }

  /** Throws a StepError if there is no answer; an answer with any status is returned. Calls are sent sequentially. */
  async call({ step, method, path, body, maximumBytes }: KeepAliveCall): Promise<KeepAliveAnswer> {
    this._pending++;
    try {
      const answer = new BoundedBody(step, maximumBytes);
      return await this._dispatch({ method, path, body: body ?? null }, answer);
    } catch (error) {
      throw new StepError(step, errorText(error), { peer: this._address, cause: error });
    } finally {
      this._pending--;
    }
  }

  /** Closes the connection, and fails calls that are in progress. */
  close(): void {
    void this._client.destroy().catch(() => undefined);
  }

  private async _dispatch(
    options: Dispatcher.DispatchOptions,
    answer: BoundedBody,
  ): Promise<KeepAliveAnswer> {
    let timer: NodeJS.Timeout | undefined;
    const answered = new Promise<KeepAliveAnswer>((resolve, reject) => {
      let status = 0;
      this._client.dispatch(options, {
        onRequestStart: (controller) => {
          const late = new Error(`no whole answer within ${this._answerMilliseconds} ms`);
          timer = setTimeout(() => controller.abort(late), this._answerMilliseconds);
        },
        onResponseStart: (_controller, code) => {
          status = code;
        },
        // An error thrown here closes the connection.
        onResponseData: (_controller, bytes) => answer.push(bytes),
        onResponseEnd: () => resolve({ status, bytes: answer.bytes() }),
        onResponseError: (_controller, error) => reject(error),
      });
    });
    return await answered.finally(() => clearTimeout(timer));
  }
}
