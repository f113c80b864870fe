/** The bytes of made-up model versions, the same at every stand-in. */
import { createCipheriv } from 'node:crypto';
import { sha256Hex } from '../src/utils/hash.js';

/** How a model's versions are cut. */
export interface WeightsShape {
  model: string;
  chunks: number;
  chunkBytes: number;
}

const KEY_BYTES = 16;

/** The bytes of one chunk: others for every version. */
export function versionChunk(shape: WeightsShape, version: number, chunk: number): Buffer {
  const key = Buffer.from(sha256Hex(`${shape.model}/${version}/${chunk}`), 'hex').subarray(0, KEY_BYTES);
  return createCipheriv('aes-128-ctr', key, Buffer.alloc(KEY_BYTES)).update(Buffer.alloc(shape.chunkBytes));
}

const digestsByVersion = new Map<string, string[]>();

/** SHA-256 of each chunk, in hex. */
export function versionDigests(shape: WeightsShape, version: number): string[] {
  const key = `${shape.model}/${shape.chunks}/${shape.chunkBytes}/${version}`;
  let digests = digestsByVersion.get(key);
  if (!digests) {
    digests = Array.from({ length: shape.chunks }, (_unused, chunk) =>
      sha256Hex(versionChunk(shape, version, chunk)),
    );
    digestsByVersion.set(key, digests);
  }
  return digests;
}
