/** Answers that arrive faster than their caller reads. */
import { test } from 'node:test';
import { expect } from 'earl';
import { MemoryBudget } from '../src/limits/memoryBudget.js';
import { AnswerReceiver } from '../src/serving/answerReceiver.js';
import type { BackendCall } from '../src/serving/backendCall.js';
import type { CallerExchange } from '../src/serving/callerExchange.js';
import type { StreamRelay } from '../src/serving/streamRelay.js';
import { ManualClock } from '../src/utils/clock.js';

const MEGABYTE = Buffer.alloc(1024 * 1024);

/** Receives a stream whose caller does not read; returns what each of `count` pieces led to, and the number of pauses. */
function receive(headers: Record<string, string>, count: number): { accepted: boolean[]; pauses: number } {
  let pauses = 0;
  const exchange = {
    onceWritable: () => undefined,
    hasBody: () => true,
    memory: new MemoryBudget(64).share(),
  } as unknown as CallerExchange;
  const relay = { begun: true, begin: () => undefined, push: () => false } as unknown as StreamRelay;
  const call = { pause: () => pauses++, resume: () => undefined } as unknown as BackendCall;
  const receiver = new AnswerReceiver(exchange, relay, new ManualClock());
  receiver.onHead(200, headers, true);
  const accepted = Array.from({ length: count }, () => receiver.onData(MEGABYTE, call));
  return { accepted, pauses };
}

test('should pause a stream of any form while its caller does not read', () => {
  expect(receive({ 'transfer-encoding': 'chunked' }, 1)).toEqual({ accepted: [true], pauses: 1 });
  expect(receive({}, 1)).toEqual({ accepted: [true], pauses: 1 });
});

/** Receives the answer to a request that is no stream; `close` ends the request. */
function bufferingReceiver(budget: MemoryBudget): { receiver: AnswerReceiver; close: () => void } {
  const memory = budget.share();
  const exchange = { hasBody: () => true, memory } as unknown as CallerExchange;
  const receiver = new AnswerReceiver(exchange, undefined, new ManualClock());
  receiver.onHead(200, {}, true);
  return { receiver, close: () => memory.release() };
}

/** Guards against a process that runs out of memory since many servers send bytes without end. */
test('should limit what the answers of many requests take together', () => {
  const memory = new MemoryBudget(6);
  const receivers = Array.from({ length: 3 }, () => bufferingReceiver(memory).receiver);
  const accepted = [0, 1].flatMap(() => receivers.map((each) => each.onData(MEGABYTE, undefined)));
  expect(accepted).toEqual([true, true, true, true, false, false]);
});

test('should accept short answers while long ones take all memory', () => {
  const memory = new MemoryBudget(2);
  const long = bufferingReceiver(memory).receiver;
  expect([long.onData(MEGABYTE, undefined), long.onData(MEGABYTE, undefined)]).toEqual([true, false]);
  expect(bufferingReceiver(memory).receiver.onData(Buffer.alloc(800), undefined)).toEqual(true);
});

test('should free the memory of an answer when its caller has it, or before another attempt', () => {
  const memory = new MemoryBudget(2);
  const { receiver, close } = bufferingReceiver(memory);
  receiver.onData(MEGABYTE, undefined);
  receiver.reset();
  expect(memory.bytes).toEqual(0);
  receiver.onHead(200, {}, true);
  receiver.onData(MEGABYTE, undefined);
  close();
  expect(memory.bytes).toEqual(0);
});
