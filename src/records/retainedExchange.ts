/** Decides when an entry sends its retained records to a source, or requests those of the source. */

export type RetainedStep = 'send' | 'request' | 'nothing';

/**
 * One instance per connection. It acts on each difference only once, because the other side may have a reason to
 * retain fewer records.
 */
export class RetainedExchange {
  private readonly _lastDifference = new Map<string, string>();

  /**
   * Returns the next step. `own` and `theirs` are the numbers of retained records of a kind in the same generation.
   */
  next(kind: string, own: number, theirs: number): RetainedStep {
    const difference = `${own} ${theirs}`;
    if (own === theirs || this._lastDifference.get(kind) === difference) return 'nothing';
    this._lastDifference.set(kind, difference);
    return own > theirs ? 'send' : 'request';
  }
}
