/** When an entry tells a source what counts on here since the store came back from an older copy, or asks for what counts on there. Pure. */

export type HeldStep = 'tell' | 'ask' | 'nothing';

/** One for each connection. Each difference is dealt with once: the other side may have a reason to hold less. */
export class HeldExchange {
  private readonly _settled = new Map<string, string>();

  /** `own` and `theirs` are how many records of a kind count on, as of the same era. */
  next(kind: string, own: number, theirs: number): HeldStep {
    const difference = `${own} ${theirs}`;
    if (own === theirs || this._settled.get(kind) === difference) return 'nothing';
    this._settled.set(kind, difference);
    return own > theirs ? 'tell' : 'ask';
  }
}
