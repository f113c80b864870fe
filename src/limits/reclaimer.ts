/**
 * Collects the garbage that requests leave. The engine does so by itself too late for a small machine: it does not know
 * how much memory the process may take, and an idle process would keep it for a long time.
 */
import v8 from 'node:v8';
import vm from 'node:vm';

/** `minor` collects what was allocated lately, `major` everything. */
export type Collection = 'minor' | 'major';

/** Bytes that are taken between two looks at the memory of the process. */
const TAKEN_BYTES = 8 * 1024 * 1024;
/** Memory of the whole process, relative to the budget, from which on everything is collected at each look. */
const FULL_FACTOR = 3;
/** Part of the budget that large requests give back between two major collections. */
const MAJOR_PART = 0.5;
/** Part of the budget that has to have been in use for a collection when little is left of it. */
const USED_PART = 0.5;
const LEFT_PART = 0.25;

/** What the reclaimer needs of the engine; tests replace it. */
export interface Engine {
  /** Bytes of memory that the whole process takes. */
  processBytes(): number;
  collect(type: Collection): void;
}

export class Reclaimer {
  private readonly _limitBytes: number;
  private readonly _engine: Engine;
  private _highestBytes = 0;
  private _takenBytes = 0;
  private _freedBytes = 0;

  constructor(limitBytes: number, engine: Engine = new ScriptEngine()) {
    this._limitBytes = limitBytes;
    this._engine = engine;
  }

  /** A request takes `bytes` more. Each part of a large one is garbage as soon as it has been copied. */
  onTaken(bytes: number, isLarge: boolean): void {
    this._takenBytes += bytes;
    if (this._takenBytes < TAKEN_BYTES) return;
    this._takenBytes = 0;
    if (this._engine.processBytes() > this._limitBytes * FULL_FACTOR) this._run('major');
    else if (isLarge) this._run('minor');
  }

  /** A large request has given back `bytes`. */
  onFreed(bytes: number): void {
    this._freedBytes += bytes;
    if (this._freedBytes >= this._limitBytes * MAJOR_PART) this._run('major');
  }

  /** Call from time to time with the bytes in use. */
  check(bytes: number): void {
    this._highestBytes = Math.max(this._highestBytes, bytes);
    const wasUsed = this._highestBytes >= this._limitBytes * USED_PART;
    if (!wasUsed || bytes > this._highestBytes * LEFT_PART) return;
    this._highestBytes = bytes;
    this._run('major');
  }

  private _run(type: Collection): void {
    if (type === 'major') this._freedBytes = 0;
    this._engine.collect(type);
  }
}

/** The function that the engine offers with `--expose-gc`. */
type EngineCollect = (options: { type: Collection; execution: 'sync' | 'async' }) => unknown;

class ScriptEngine implements Engine {
  private _collect: EngineCollect | undefined;

  processBytes(): number {
    return process.memoryUsage.rss();
  }

  collect(type: Collection): void {
    if (!this._collect) {
      v8.setFlagsFromString('--expose-gc');
      this._collect = vm.runInNewContext('gc') as EngineCollect;
    }
    // A synchronous collection keeps all that the stack may refer to, which includes the requests that have just ended.
    this._collect({ type, execution: type === 'major' ? 'async' : 'sync' });
  }
}
