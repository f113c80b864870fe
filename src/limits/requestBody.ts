/** Reads the bodies of requests within the memory that the clients may take. */
import type http from 'node:http';
import { ByteCollector } from '../utils/byteCollector.js';
import { StepError } from '../utils/stepError.js';
import type { MemoryShare } from './memoryBudget.js';

/**
 * Why a body was not read:
 * - `too-large`: it is longer than permitted.
 * - `no-memory`: the process has no memory for it now.
 * - `time-over`: its end did not come in time.
 * - `ended-early`: the connection was closed before its end.
 */
export type BodyProblem = 'too-large' | 'no-memory' | 'time-over' | 'ended-early';

const PROBLEM_TEXTS: Record<BodyProblem, string> = {
  'too-large': 'too large',
  'no-memory': 'no memory for it now',
  'time-over': 'did not end in time',
  'ended-early': 'ended early',
};

export class BodyError extends StepError {
  readonly problem: BodyProblem;

  constructor(problem: BodyProblem) {
    super('http.body', PROBLEM_TEXTS[problem]);
    this.problem = problem;
  }
}

export interface BodyLimits {
  /** Longest body. */
  bytes: number;
  /** Longest time until the end of the body; without a limit if not set. */
  milliseconds?: number;
}

/**
 * Reads a whole body. Rejects with a BodyError when it cannot; the rest is read and discarded then, and none of it is
 * kept.
 */
export async function readBody(
  request: http.IncomingMessage,
  limits: BodyLimits,
  share: MemoryShare,
): Promise<Buffer> {
  return await new Promise((resolve, reject) => new BodyReader(request, limits, share, resolve, reject));
}

class BodyReader {
  private readonly _limits: BodyLimits;
  private readonly _share: MemoryShare;
  private readonly _timer: NodeJS.Timeout | undefined;
  private readonly _reject: (error: BodyError) => void;
  private _collected: ByteCollector | undefined = new ByteCollector();
  /** Bytes of the share that the body takes. */
  private _bytes = 0;

  constructor(
    request: http.IncomingMessage,
    limits: BodyLimits,
    share: MemoryShare,
    resolve: (body: Buffer) => void,
    reject: (error: BodyError) => void,
  ) {
    this._limits = limits;
    this._share = share;
    this._reject = reject;
    share.evict = () => this._fail('no-memory');
    const { milliseconds } = limits;
    if (milliseconds !== undefined)
      this._timer = setTimeout(() => this._fail('time-over'), Math.max(0, milliseconds));
    if (Number(request.headers['content-length']) > limits.bytes) this._fail('too-large');
    request.on('data', (part: Buffer) => this._add(part));
    request.once('end', () => this._end(resolve));
    request.once('error', () => this._fail('ended-early'));
    request.once('close', () => this._fail('ended-early'));
  }

  private _add(part: Buffer): void {
    const collected = this._collected;
    if (!collected) return;
    if (collected.length + part.length > this._limits.bytes) return this._fail('too-large');
    const growth = collected.growthFor(part);
    if (!this._share.take(growth)) return this._fail('no-memory');
    this._bytes += growth;
    collected.add(part);
  }

  private _end(resolve: (body: Buffer) => void): void {
    const collected = this._stop();
    if (collected) resolve(collected.take());
  }

  private _fail(problem: BodyProblem): void {
    if (!this._stop()) return;
    this._share.give(this._bytes);
    this._reject(new BodyError(problem));
  }

  /** Returns what has been collected; undefined if reading has ended before. */
  private _stop(): ByteCollector | undefined {
    const collected = this._collected;
    this._collected = undefined;
    if (collected) {
      clearTimeout(this._timer);
      this._share.evict = undefined;
    }
    return collected;
  }
}
