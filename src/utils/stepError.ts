/** The error type of the whole system. */

/** What a caller or operator may do about an error. */
export type ErrorAdvice = 'retry-later' | 'retry-elsewhere' | 'fix-input' | 'give-up';

/** Extra facts of a {@link StepError}. */
export interface StepErrorDetails {
  /** The peer at which the error arose: a box id, an address or a URL. */
  peer?: string;
  advice?: ErrorAdvice;
  cause?: unknown;
}

/** An error that carries the step at which it arose and the peer it arose with. */
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

/** Returns a one-line text for anything thrown. */
export function errorText(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  return error.message || (error as NodeJS.ErrnoException).code || error.name;
}

/** Returns the system or library error code of anything thrown, or ''. */
export function errorCode(error: unknown): string {
  return (error as { code?: string } | undefined)?.code ?? '';
}
