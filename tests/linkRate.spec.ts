/** When the link of a box counts as narrow, so that requests of older versions keep away from it. */
import { test } from 'node:test';
import { expect } from 'earl';
import { LinkRate } from '../src/staging/linkRate.js';

/** Takes 1,000 bytes a millisecond when it is well. */
const RATE = 1_000_000;
const STARTED_AT = 10_000;
const STEP_MILLISECONDS = 100;

/** A link, the time and what has come on it. */
class Transfer {
  readonly link = new LinkRate(RATE, STARTED_AT);
  now = STARTED_AT;
  private _received = 0;

  /** Goes on for some time, in which so many bytes come a millisecond. */
  run(milliseconds: number, bytesPerMillisecond: number, fetches = 3): this {
    const end = this.now + milliseconds;
    while (this.now < end) {
      const step = Math.min(STEP_MILLISECONDS, end - this.now);
      this.now += step;
      this._received += step * bytesPerMillisecond;
      this.link.record(this.now, this._received, fetches);
    }
    return this;
  }

  get isNarrow(): boolean {
    return this.link.isSlow(this.now);
  }
}

test('should call a link narrow on which chunks come at a third of its rate', () => {
  expect(new Transfer().run(2_000, 330).isNarrow).toEqual(true);
  expect(new Transfer().run(2_000, 400).isNarrow).toEqual(false);
});

test('should not judge a link by less than a second', () => {
  expect(new Transfer().run(999, 0).isNarrow).toEqual(false);
  expect(new Transfer().run(1_000, 0).isNarrow).toEqual(true);
});

test('should take a link that was narrow to stay so for four seconds after the last chunk', () => {
  const { link, now } = new Transfer().run(5_000, 300);
  link.complete(now);
  expect(link.isSlow(now)).toEqual(true);
  expect(link.isSlow(now + 4_000)).toEqual(true);
  expect(link.isSlow(now + 4_001)).toEqual(false);
});

test('should judge a whole version by the time that it took, not by the time since', () => {
  const { link, now } = new Transfer().run(2_000, 950);
  link.complete(now);
  expect(link.isSlow(now + 3_900)).toEqual(false);
});

/**
 * Symptom: a request lay 2.7 s on its way to a box, and began after the bound of its version.
 * Sequence: the link of the box was squeezed to a fifth one second after a version had begun to come at its full rate.
 * Cause: the link was judged by the mean rate since the beginning, which stays above the limit for seconds.
 * What settled it: at 5.4 s, 1 s at the full rate and 4.4 s at 0.23 of it make a mean of 0.37, just at the limit of 0.38.
 */
test('should call a link narrow soon after it has become so', () => {
  expect(new Transfer().run(1_000, 1_000).run(2_500, 230).isNarrow).toEqual(true);
});

test('should call a link well soon after it has become so', () => {
  expect(new Transfer().run(3_000, 230).run(1_000, 1_000).isNarrow).toEqual(false);
});

/**
 * Symptom: all streams of a service were refused for two seconds, though every server had room.
 * Sequence: a version was named and its origin went dark for six seconds; all boxes waited for chunks that were nowhere.
 * Cause: the time in which there was nothing to fetch counted as time in which chunks came slowly, so that every box told entries
 * that its link was narrow.
 * What settled it: of one day's streams 0.073 were refused in place of 0.023, while no round trip to any box took over 400 ms.
 */
test('should say nothing of a link on which there was nothing to fetch', () => {
  expect(new Transfer().run(6_000, 0, 0).isNarrow).toEqual(false);
  expect(new Transfer().run(6_000, 20, 1).isNarrow).toEqual(false);
  expect(new Transfer().run(2_000, 900).run(6_000, 0, 0).isNarrow).toEqual(false);
});
