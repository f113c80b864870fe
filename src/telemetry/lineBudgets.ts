/** Limits how many log lines of each step are written. */

/** Maximum number of lines that are written per step and second. Further lines are only counted. */
const LINES_PER_SECOND = 100;
const WINDOW_MILLISECONDS = 1_000;

interface StepBudget {
  windowStart: number;
  written: number;
  dropped: number;
}

export class LineBudgets {
  private readonly _budgets = new Map<string, StepBudget>();
  private _droppedLines = 0;

  /** Lines dropped since the start. */
  get droppedLines(): number {
    return this._droppedLines;
  }

  /**
   * Takes one line of `step` at `now`, in milliseconds. Returns how many lines of the step were dropped since the last
   * one, undefined if this one has to be dropped too.
   */
  take(step: string, now: number): number | undefined {
    const budget = this._budgetOf(step, now);
    if (budget.written >= LINES_PER_SECOND) {
      budget.dropped++;
      this._droppedLines++;
      return undefined;
    }
    budget.written++;
    const { dropped } = budget;
    budget.dropped = 0;
    return dropped;
  }

  private _budgetOf(step: string, now: number): StepBudget {
    let budget = this._budgets.get(step);
    if (!budget) {
      budget = { windowStart: now, written: 0, dropped: 0 };
      this._budgets.set(step, budget);
    }
    if (Math.abs(now - budget.windowStart) >= WINDOW_MILLISECONDS) {
      budget.windowStart = now;
      budget.written = 0;
    }
    return budget;
  }
}
