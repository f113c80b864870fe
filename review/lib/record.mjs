/** The record of a run: what was sent, answered and run, with the milliseconds since the start. */
import { writeFileSync, appendFileSync } from 'node:fs';

export class Record {
  constructor(file) {
    this._file = file;
    this._startedAt = Date.now();
    writeFileSync(file, '');
  }

  /** Milliseconds since the start of the run. */
  get now() {
    return Date.now() - this._startedAt;
  }

  write(text) {
    appendFileSync(this._file, `${String(this.now).padStart(6)} ms  ${text}\n`);
  }
}
