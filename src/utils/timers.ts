/** Timers that end with their owner. */
import { setTimeout as delay } from 'node:timers/promises';

/** Resolves after `milliseconds`, or at once when `signal` is aborted. Never rejects. */
export async function pause(milliseconds: number, signal?: AbortSignal): Promise<void> {
  try {
    await delay(milliseconds, undefined, { signal });
  } catch {
    // aborted: the caller looks at the signal
  }
}

/** Resolves when `work` does, and after `milliseconds` at the latest. */
export async function waitAtMost(work: Promise<void>, milliseconds: number): Promise<void> {
  const ended = new AbortController();
  try {
    await Promise.race([work, pause(milliseconds, ended.signal)]);
  } finally {
    ended.abort();
  }
}

/** Rejects with `onTimeout()` when `work` takes longer than `milliseconds`. */
export async function withTimeout<T>(
  work: Promise<T>,
  milliseconds: number,
  onTimeout: () => Error,
): Promise<T> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<never>((_resolve, reject) => {
    timer = setTimeout(() => reject(onTimeout()), milliseconds);
  });
  try {
    return await Promise.race([work, timeout]);
  } finally {
    clearTimeout(timer);
  }
}
