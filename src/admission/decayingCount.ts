/** Counts events, with less weight for those that are longer ago. */
export class DecayingCount {
  private readonly _halfLife: number;
  private _value = 0;
  private _at = 0;

  /** Each event loses half of its weight in `halfLifeMilliseconds`. */
  constructor(halfLifeMilliseconds: number) {
    this._halfLife = halfLifeMilliseconds;
  }

  add(now: number): void {
    this._value = this.at(now) + 1;
    this._at = now;
  }

  /** The weight of all events at `now`. */
  at(now: number): number {
    return this._value * 0.5 ** ((now - this._at) / this._halfLife);
  }
}
