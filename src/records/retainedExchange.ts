/** Decides when an entry sends its retained records to a source, or asks for those of the source. Pure. */

export type RetainedStep = 'tell' | 'ask' | 'nothing';

/** One for each connection. Each difference is dealt with once: the other side may have reason to retain fewer. */
export class RetainedExchange {
  private readonly _settled = new Map<string, string>();

  /** `own` and `theirs` are counts of retained records of a kind, in the same generation. */
  next(kind: string, own: number, theirs: number): RetainedStep {
    const difference = `${own} ${theirs}`;
    if (own === theirs || this._settled.get(kind) === difference) return 'nothing';
    this._settled.set(kind, difference);
    return own > theirs ? 'tell' : 'ask';
  }
}
