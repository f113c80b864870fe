/** A manifest with the sums that transfers need. */
import type { ChunkDescription, Manifest } from '../protocol/manifest.js';
import { sha256Hex } from '../utils/hash.js';

/** Where each chunk lies in the version's bytes. */
export class ManifestIndex {
  readonly manifest: Manifest;
  /** SHA-256 over the chunk digests and sizes, in order; names the content of a version. */
  readonly digest: string;
  readonly totalBytes: number;
  private readonly _offsets: number[] = [];

  constructor(manifest: Manifest) {
    this.manifest = manifest;
    let offset = 0;
    for (const chunk of manifest.chunks) {
      this._offsets.push(offset);
      offset += chunk.size;
    }
    this.totalBytes = offset;
    this.digest = sha256Hex(manifest.chunks.map((chunk) => `${chunk.digest}:${chunk.size}`).join('\n'));
  }

  get chunkCount(): number {
    return this.manifest.chunks.length;
  }

  chunk(index: number): ChunkDescription {
    return this.manifest.chunks[index];
  }

  /** First byte of a chunk in the version's bytes. */
  offset(index: number): number {
    return this._offsets[index];
  }
}
