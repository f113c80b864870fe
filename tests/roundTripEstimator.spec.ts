/** The estimate of a connection's round-trip time. */
import { test } from 'node:test';
import { expect } from 'earl';
import { RoundTripEstimator } from '../src/protocol/roundTripEstimator.js';

test('should return the last round trip while it is recent', () => {
  const delay = new RoundTripEstimator();
  const number = delay.recordProbe(100);
  delay.recordEcho(number, 350);
  expect([delay.estimateMilliseconds(400), delay.estimateMilliseconds(1_900)]).toEqual([250, 0]);
});

test('should return how long the oldest probe has been waiting for its answer', () => {
  const delay = new RoundTripEstimator();
  delay.recordEcho(delay.recordProbe(0), 10);
  delay.recordProbe(1_000);
  delay.recordProbe(1_200);
  delay.recordProbe(1_400);
  expect(delay.estimateMilliseconds(1_600)).toEqual(600);
});

test('should not count a pause of this process, in which it sent no probes', () => {
  const delay = new RoundTripEstimator();
  delay.recordEcho(delay.recordProbe(0), 10);
  delay.recordProbe(1_000);
  expect(delay.estimateMilliseconds(9_000)).toEqual(300);
});

test('should return 0 for a peer that has answered no probe', () => {
  const delay = new RoundTripEstimator();
  delay.recordProbe(0);
  expect(delay.estimateMilliseconds(5_000)).toEqual(0);
});

test('should end all earlier probes with an answer', () => {
  const delay = new RoundTripEstimator();
  delay.recordEcho(delay.recordProbe(0), 10);
  delay.recordProbe(100);
  delay.recordEcho(delay.recordProbe(200), 230);
  expect(delay.estimateMilliseconds(240)).toEqual(30);
});

test('should limit the number of outstanding probes', () => {
  const delay = new RoundTripEstimator();
  const open: boolean[] = [];
  for (let sent = 0; sent < 8; sent++) {
    delay.recordProbe(0);
    open.push(!delay.isAtProbeLimit);
  }
  expect(open).toEqual([true, true, true, true, true, true, true, false]);
  delay.recordEcho(7, 2);
  expect([delay.isAtProbeLimit]).toEqual([false]);
});
