/** How long chunks are collected for one announcement. */
const BATCH_MILLISECONDS = 20;

/** Announces newly held chunks to neighbours, in batches. */
export class HaveAnnouncer {
  private readonly _announce: (chunks: number[]) => void;
  private _pending: number[] = [];
  private _timer: NodeJS.Timeout | undefined;

  constructor(announce: (chunks: number[]) => void) {
    this._announce = announce;
  }

  /** Adds a chunk to the next announcement. */
  add(chunk: number): void {
    this._pending.push(chunk);
    this._timer ??= setTimeout(() => this._flush(), BATCH_MILLISECONDS);
  }

  stop(): void {
    clearTimeout(this._timer);
  }

  private _flush(): void {
    this._timer = undefined;
    const chunks = this._pending;
    this._pending = [];
    this._announce(chunks);
  }
}
