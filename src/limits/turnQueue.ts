/** Spreads work for demanding clients over the turns of the event loop, so that it does not keep it from the others. */

type Job = () => void;

export class TurnQueue {
  private readonly _jobsPerTurn: number;
  private readonly _jobs: Job[] = [];
  private _isScheduled = false;

  constructor(jobsPerTurn: number) {
    this._jobsPerTurn = jobsPerTurn;
  }

  /** Runs `job` in a later turn, after those added before it. */
  add(job: Job): void {
    this._jobs.push(job);
    this._schedule();
  }

  private _schedule(): void {
    if (this._isScheduled || this._jobs.length === 0) return;
    this._isScheduled = true;
    setImmediate(() => this._run());
  }

  private _run(): void {
    this._isScheduled = false;
    for (const job of this._jobs.splice(0, this._jobsPerTurn)) job();
    this._schedule();
  }
}
