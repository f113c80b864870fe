/** The place before the backend server, into which chunks are laid: it holds one copy of a model, of whichever version. */
import type { LocalBackend } from './localBackend.js';

export class StagingPlace {
  private readonly _backend: LocalBackend;
  /** Writes by version. */
  private readonly _writes = new Map<number, number>();

  constructor(backend: LocalBackend) {
    this._backend = backend;
  }

  /** Lays a chunk of `version`. Throws a StepError when it may not lie there. */
  async lay(model: string, version: number, chunk: number, data: Buffer): Promise<void> {
    this._writes.set(version, (this._writes.get(version) ?? 0) + 1);
    await this._backend.putChunk(model, chunk, data);
  }

  /** What lies there; undefined when nothing does. */
  async read(model: string, chunk: number): Promise<Buffer | undefined> {
    return await this._backend.getChunk(model, chunk);
  }

  /** Writes so far of versions other than `version`. */
  writesBeside(version: number): number {
    let writes = 0;
    for (const [other, count] of this._writes) if (other !== version) writes += count;
    return writes;
  }
}
