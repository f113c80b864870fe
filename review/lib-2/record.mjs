/** Writes what a case has seen to `record.txt` in its folder. */
import { writeFileSync } from 'node:fs';
import path from 'node:path';

export class CaseRecord {
  #lines = [];
  #file;
  #startedAt = Date.now();

  constructor(folder) {
    this.#file = path.join(folder, 'record.txt');
  }

  /** Milliseconds since the case began. */
  at(time = Date.now()) {
    return time - this.#startedAt;
  }

  add(text, time = Date.now()) {
    this.#lines.push({ at: this.at(time), text });
  }

  write(verdict) {
    const lines = [...this.#lines].sort((a, b) => a.at - b.at);
    const text = lines.map(({ at, text: line }) => `${String(at).padStart(7)} ms  ${line}`).join('\n');
    writeFileSync(this.#file, `${text}\n${verdict}\n`);
    console.log(verdict);
  }
}
