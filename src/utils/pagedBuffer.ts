/** Buffers with memory pages of their own. */

/** Smallest size that is worth pages of its own. */
const MIN_PAGED_BYTES = 64 * 1024;

/**
 * Returns a buffer with arbitrary content. The pages of a large one go back to the system when it is collected; those
 * of ordinary buffers stay with the allocator, which cannot return them while smaller objects lie between them.
 */
export function allocatePaged(bytes: number): Buffer {
  if (bytes < MIN_PAGED_BYTES) return Buffer.allocUnsafeSlow(bytes);
  // Resizable buffers are the ones that the engine maps page by page.
  const options = { maxByteLength: bytes };
  return Buffer.from(new (ArrayBuffer as ResizableArrayBuffer)(bytes, options), 0, bytes);
}

/** The constructor as of ES2024, which the configured library does not describe. */
type ResizableArrayBuffer = new (byteLength: number, options: { maxByteLength: number }) => ArrayBuffer;
