/** Seeded random numbers, so that a run can be reproduced. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A source of random numbers. */
export interface Random {
  /** Returns an integer from 0 (inclusive) to `bound` (exclusive). */
  integer(bound: number): number;
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  fraction(): number;
}

const FRACTION_STEPS = 2 ** 30;

/** A pseudo-random generator: the same seed gives the same numbers. */
export class SeededRandom implements Random {
  private readonly _generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this._generator = xoroshiro128plus(seed);
  }

  integer(bound: number): number {
    return uniformInt(this._generator, 0, bound - 1);
  }

  fraction(): number {
    return this.integer(FRACTION_STEPS) / FRACTION_STEPS;
  }
}

/** Returns a shuffled copy of `items`. */
export function shuffled<T>(items: readonly T[], random: Random): T[] {
  const result = [...items];
  for (let last = result.length - 1; last > 0; last--) {
    const other = random.integer(last + 1);
    [result[last], result[other]] = [result[other], result[last]];
  }
  return result;
}
