/** When the link of a box counts as slow, so that entries send it no requests of older versions. */
import { test } from 'node:test';
import { expect } from 'earl';
import { LinkRate } from '../src/staging/linkRate.js';

/** Full rate of the link: 1,000 bytes per millisecond. */
const RATE = 1_000_000;
const STARTED_AT = 10_000;
const STEP_MILLISECONDS = 100;

/** A simulated transfer: the link, the current time and the bytes received so far. */
class Transfer {
  readonly link = new LinkRate(RATE, STARTED_AT);
  now = STARTED_AT;
  private _received = 0;

  /** Continues for some time at the given rate. */
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

  get isSlow(): boolean {
    return this.link.isSlow(this.now);
  }
}

test('should call a link slow if chunks arrive at a third of its rate', () => {
  expect(new Transfer().run(2_000, 330).isSlow).toEqual(true);
  expect(new Transfer().run(2_000, 400).isSlow).toEqual(false);
});

test('should not judge a link before it was measured for a second', () => {
  expect(new Transfer().run(999, 0).isSlow).toEqual(false);
  expect(new Transfer().run(1_000, 0).isSlow).toEqual(true);
});

test('should call a slow link slow for four seconds after the last chunk', () => {
  const { link, now } = new Transfer().run(5_000, 300);
  link.complete(now);
  expect(link.isSlow(now)).toEqual(true);
  expect(link.isSlow(now + 4_000)).toEqual(true);
  expect(link.isSlow(now + 4_001)).toEqual(false);
});

test('should judge a complete version by the time of its transfer, not by the time since', () => {
  const { link, now } = new Transfer().run(2_000, 950);
  link.complete(now);
  expect(link.isSlow(now + 3_900)).toEqual(false);
});

/**
 * Guards against judging the link by the mean rate since the start, which stays above the limit for seconds after
 * the link becomes slow. A link was throttled to a fifth of its rate one second after the transfer had started at
 * the full rate: 1 s at the full rate and 4.4 s at 0.23 of it make a mean of 0.37, just below the limit of 0.38.
 * Meanwhile a request took 2.7 s to reach the box and began after the deadline of its version.
 */
test('should call a link slow soon after it has become slow', () => {
  expect(new Transfer().run(1_000, 1_000).run(2_500, 230).isSlow).toEqual(true);
});

test('should not call a link slow soon after it has become fast again', () => {
  expect(new Transfer().run(3_000, 230).run(1_000, 1_000).isSlow).toEqual(false);
});

/**
 * Guards against counting time without anything to fetch as slow. A version was announced and its origin was down
 * for six seconds, so that all boxes waited for chunks that no box had. All of them reported slow links, and all
 * streams of the service were refused for two seconds although every server had room. Over the whole day a
 * share of 0.073 of the streams was refused instead of 0.023, while no round trip to a box took over 400 ms.
 */
test('should not call a link slow while there is nothing to fetch', () => {
  expect(new Transfer().run(6_000, 0, 0).isSlow).toEqual(false);
  expect(new Transfer().run(6_000, 20, 1).isSlow).toEqual(false);
  expect(new Transfer().run(2_000, 900).run(6_000, 0, 0).isSlow).toEqual(false);
});
