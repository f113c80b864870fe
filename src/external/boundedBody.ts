/** Limits what is read of an answer's body: a faulty peer may send bytes without end. */
import { ByteCollector } from '../utils/byteCollector.js';
import { StepError } from '../utils/stepError.js';

/** Limit for answers in JSON; lists of the store and manifests are the longest. */
export const MAX_JSON_BYTES = 16 * 1024 * 1024;

/** Collects the parts of a body up to a number of bytes. */
export class BoundedBody {
  private readonly _step: string;
  private readonly _maximumBytes: number;
  private readonly _collected = new ByteCollector();

  constructor(step: string, maximumBytes: number) {
    this._step = step;
    this._maximumBytes = maximumBytes;
  }

  /** Throws a StepError when the body is longer than permitted; the connection has to be closed then. */
  push(part: Buffer): void {
    if (this._collected.length + part.length > this._maximumBytes)
      throw new StepError(this._step, `an answer of over ${this._maximumBytes} bytes`);
    this._collected.add(part);
  }

  /** Takes the body out. */
  bytes(): Buffer {
    return this._collected.take();
  }
}
