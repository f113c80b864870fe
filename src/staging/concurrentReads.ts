/** Reads several staged chunks at a time. */

/** Number of chunks read concurrently: as many as the client of the backend server has connections for chunks. */
const READ_CONCURRENCY = 4;

/** Calls `read` for each chunk. Rejects with the first error, after which no further chunk is read. */
export async function readEach(
  chunks: Iterable<number>,
  read: (chunk: number) => Promise<void>,
): Promise<void> {
  const remaining = iterate(chunks);
  const readRemaining = async (): Promise<void> => {
    for (const chunk of remaining) await read(chunk);
  };
  await Promise.all(Array.from({ length: READ_CONCURRENCY }, readRemaining));
}

/** A generator ends for all of its consumers when one of them leaves its loop with an error. */
function* iterate(chunks: Iterable<number>): Generator<number> {
  yield* chunks;
}
