/** Answers that arrive faster than their caller reads. */
import { test } from 'node:test';
import { expect } from 'earl';
import { AnswerReceiver } from '../src/serving/answerReceiver.js';
import type { BackendCall } from '../src/serving/backendCall.js';
import type { CallerExchange } from '../src/serving/callerExchange.js';
import type { StreamRelay } from '../src/serving/streamRelay.js';
import { ManualClock } from '../src/utils/clock.js';

const MEGABYTE = Buffer.alloc(1024 * 1024);

/** Receives a stream whose caller does not read; returns what each of `count` pieces led to, and the number of pauses. */
function receive(headers: Record<string, string>, count: number): { accepted: boolean[]; pauses: number } {
  let pauses = 0;
  const exchange = { onceWritable: () => undefined, hasBody: () => true } as unknown as CallerExchange;
  const relay = { begun: true, begin: () => undefined, push: () => false } as unknown as StreamRelay;
  const call = { pause: () => pauses++, resume: () => undefined } as unknown as BackendCall;
  const receiver = new AnswerReceiver(exchange, relay, new ManualClock());
  receiver.onHead(200, headers, true);
  const accepted = Array.from({ length: count }, () => receiver.onData(MEGABYTE, call));
  return { accepted, pauses };
}

test('should pause a stream in chunks while its caller does not read', () => {
  expect(receive({ 'transfer-encoding': 'chunked' }, 1)).toEqual({ accepted: [true], pauses: 1 });
});

/** Guards against the exit of the whole process when such a stream ends during a pause. */
test('should not pause a stream without length, and limit what its caller has not read', () => {
  const { accepted, pauses } = receive({}, 17);
  expect(pauses).toEqual(0);
  expect(accepted).toEqual([...Array.from({ length: 16 }, () => true), false]);
});
