/** Tests the parsing of backpressure headers. */
import { test } from 'node:test';
import { expect } from 'earl';
import { MAX_RETRY_AFTER_MILLISECONDS, readSignals } from '../src/backpressure/answerSignals.js';
import { OWN_HEADER_NAMES as NAMES } from '../src/serving/headerNames.js';

const NOW = Date.UTC(2026, 0, 2, 3, 4, 5);

function read(status: number, headers: Record<string, string | string[]>) {
  return readSignals(status, headers, NAMES, () => NOW);
}

test('should return no signals for a response without backpressure headers', () => {
  const { unreadable, ...signals } = read(200, { 'content-type': 'text/plain', 'retry-after': '3' });
  expect(signals).toEqual({
    limitPerSecond: undefined,
    leaving: false,
    retryAfterMilliseconds: 0,
    coldMilliseconds: 0,
  });
  expect(unreadable).toEqual(undefined);
});

test('should read a limit, whatever the status', () => {
  expect(read(200, { [NAMES.serverLimit]: '2.8' }).limitPerSecond).toEqual(2.8);
  expect(read(500, { [NAMES.serverLimit]: ' 0 ' }).limitPerSecond).toEqual(0);
  expect(read(200, { [NAMES.serverLimit]: ['3', '1'] }).limitPerSecond).toEqual(1);
});

test('should read that a server is shutting down', () => {
  expect(read(200, { [NAMES.serverLeaving]: '1' }).leaving).toEqual(true);
  expect(read(200, { [NAMES.serverLeaving]: '0' }).leaving).toEqual(false);
});

for (const [text, milliseconds] of [
  ['3', 3_000],
  ['0.25', 250],
  ['0', 0],
  ['Fri, 02 Jan 2026 03:04:09 GMT', 4_000],
  ['Fri, 02 Jan 2026 03:04:01 GMT', 0],
  ['31536000', MAX_RETRY_AFTER_MILLISECONDS],
] as const) {
  test(`should read a Retry-After of "${text}" from a rejection`, () => {
    expect(read(503, { 'retry-after': text }).retryAfterMilliseconds).toEqual(milliseconds);
    expect(read(429, { 'retry-after': text }).retryAfterMilliseconds).toEqual(milliseconds);
    expect(read(500, { 'retry-after': text }).retryAfterMilliseconds).toEqual(0);
  });
}

for (const text of ['', 'NaN', '-1', '1e309', 'Infinity', 'soon', '9'.repeat(400)]) {
  test(`should ignore and report "${text.slice(0, 10)}" as a limit and as a Retry-After`, () => {
    const limit = read(200, { [NAMES.serverLimit]: text });
    expect(limit.limitPerSecond).toEqual(undefined);
    expect(limit.unreadable).toEqual(`${NAMES.serverLimit}: ${text}`.slice(0, 40));
    const rejected = read(503, { 'retry-after': text });
    expect(rejected.retryAfterMilliseconds).toEqual(0);
    expect(rejected.unreadable).toEqual(`retry-after: ${text}`.slice(0, 40));
  });
}
