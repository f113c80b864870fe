/** The evacuated data centres, as far as this process knows. */

/** Data centres whose evacuation has begun or ended with an update. */
export interface EvacuationChange {
  begun: readonly string[];
  ended: readonly string[];
}

export class Evacuations {
  private _dataCentres: ReadonlySet<string> = new Set();

  /** Names of the evacuated data centres. The operator may have written names of unknown data centres. */
  get dataCentres(): readonly string[] {
    return [...this._dataCentres];
  }

  has(dataCentre: string): boolean {
    return this._dataCentres.has(dataCentre);
  }

  /** Replaces the evacuated data centres; returns what has changed. */
  update(dataCentres: Iterable<string>): EvacuationChange {
    const before = this._dataCentres;
    const after = new Set(dataCentres);
    this._dataCentres = after;
    return {
      begun: [...after].filter((name) => !before.has(name)),
      ended: [...before].filter((name) => !after.has(name)),
    };
  }
}
