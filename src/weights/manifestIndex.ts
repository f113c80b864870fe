import type { ChunkDescription, Manifest } from '../protocol/manifest.js';
import { sha256Hex } from '../utils/hash.js';

/** A manifest with its digest, its total size and the offset of each chunk. */
export class ManifestIndex {
  readonly manifest: Manifest;
  /** SHA-256 of the digests and sizes of all chunks, in order; identifies the content of a version. */
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

  /** Offset of a chunk in the bytes of the version. */
  offset(index: number): number {
    return this._offsets[index];
  }
}
