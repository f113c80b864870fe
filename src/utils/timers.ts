/** Promise-based timers that are cleared when they are no longer needed. */
import { setTimeout as delay } from 'node:timers/promises';

/** Resolves after `milliseconds`, or at once when `signal` is aborted. Never rejects. */
export async function pause(milliseconds: number, signal?: AbortSignal): Promise<void> {
  try {
    await delay(milliseconds, undefined, { signal });
  } catch {
    // Aborted; callers check the signal themselves.
  }
}

/** Resolves when `work` resolves, or after `milliseconds` if that is earlier. */
export async function waitAtMost(work: Promise<void>, milliseconds: number): Promise<void> {
  const ended = new AbortController();
  try {
    await Promise.race([work, pause(milliseconds, ended.signal)]);
  } finally {
    ended.abort();
  }
}

/** Returns the result of `work`; rejects with `onTimeout()` when it takes longer than `milliseconds`. */
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
