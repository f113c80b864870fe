/** The error type that all processes use. */

/** What a caller or operator can do about an error. */
export type ErrorAdvice = 'retry-later' | 'retry-elsewhere' | 'fix-input' | 'give-up';

/** Optional details of a {@link StepError}. */
export interface StepErrorDetails {
  /** The peer involved in the failed operation: a box name, an address or a URL. */
  peer?: string;
  advice?: ErrorAdvice;
  cause?: unknown;
}

/** An error that names the failed operation (`step`, such as `chunk.fetch`) and the peer involved. */
export class StepError extends Error {
  readonly step: string;
  readonly peer: string | undefined;
  readonly advice: ErrorAdvice | undefined;

  constructor(step: string, message: string, details: StepErrorDetails = {}) {
    super(`${step}: ${message}${details.peer ? ` (peer ${details.peer})` : ''}`, { cause: details.cause });
    this.name = 'StepError';
    this.step = step;
    this.peer = details.peer;
    this.advice = details.advice;
  }
}

/** Returns the message of a thrown value of any type. */
export function errorText(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  return error.message || (error as NodeJS.ErrnoException).code || error.name;
}

/** Returns the system or library error code of a thrown value, or '' when it has none. */
export function errorCode(error: unknown): string {
  return (error as { code?: string } | undefined)?.code ?? '';
}
