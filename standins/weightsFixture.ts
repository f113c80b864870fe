/** Generated weights of model versions, the same in all stand-ins. */
import { createCipheriv } from 'node:crypto';
import { sha256Hex } from '../src/utils/hash.js';

/** Number and size of the chunks of each version of a model. */
export interface WeightsShape {
  model: string;
  chunks: number;
  chunkBytes: number;
}

const KEY_BYTES = 16;

/** Returns the data of a chunk. It is different for each version. */
export function versionChunk(shape: WeightsShape, version: number, chunk: number): Buffer {
  const key = Buffer.from(sha256Hex(`${shape.model}/${version}/${chunk}`), 'hex').subarray(0, KEY_BYTES);
  return createCipheriv('aes-128-ctr', key, Buffer.alloc(KEY_BYTES)).update(Buffer.alloc(shape.chunkBytes));
}

const digestsByVersion = new Map<string, string[]>();

/** Returns the SHA-256 digest of each chunk, in hex. */
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
