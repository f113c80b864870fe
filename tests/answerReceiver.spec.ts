/** Answers that arrive faster than their caller reads. */
import { EventEmitter } from 'node:events';
import { test } from 'node:test';
import { expect } from 'earl';
import { AnswerReceiver } from '../src/serving/answerReceiver.js';
import type { BackendCall } from '../src/serving/backendCall.js';
import { AnswerMemory } from '../src/serving/answerMemory.js';
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
    onceClosed: () => undefined,
  } as unknown as CallerExchange;
  const relay = { begun: true, begin: () => undefined, push: () => false } as unknown as StreamRelay;
  const call = { pause: () => pauses++, resume: () => undefined } as unknown as BackendCall;
  const receiver = new AnswerReceiver(exchange, relay, new AnswerMemory(64), new ManualClock());
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

/** Receives the answer to a request that is no stream; `close` ends the request. */
function bufferingReceiver(memory: AnswerMemory): { receiver: AnswerReceiver; close: () => void } {
  const closed = new EventEmitter();
  const exchange = {
    hasBody: () => true,
    onceClosed: (listener: () => void) => void closed.once('close', listener),
  } as unknown as CallerExchange;
  const receiver = new AnswerReceiver(exchange, undefined, memory, new ManualClock());
  receiver.onHead(200, {}, true);
  return { receiver, close: () => void closed.emit('close') };
}

/** Guards against a process that runs out of memory since many servers send bytes without end. */
test('should limit what the answers of many requests take together', () => {
  const memory = new AnswerMemory(4);
  const receivers = Array.from({ length: 3 }, () => bufferingReceiver(memory).receiver);
  const accepted = [0, 1].flatMap(() => receivers.map((each) => each.onData(MEGABYTE, undefined)));
  expect(accepted).toEqual([true, true, true, true, false, false]);
});

test('should accept short answers while long ones take all memory', () => {
  const memory = new AnswerMemory(1);
  const long = bufferingReceiver(memory).receiver;
  expect([long.onData(MEGABYTE, undefined), long.onData(MEGABYTE, undefined)]).toEqual([true, false]);
  expect(bufferingReceiver(memory).receiver.onData(Buffer.alloc(800), undefined)).toEqual(true);
});

test('should free the memory of an answer when its caller has it, or before another attempt', () => {
  const memory = new AnswerMemory(1);
  const { receiver, close } = bufferingReceiver(memory);
  receiver.onData(MEGABYTE, undefined);
  receiver.reset();
  expect(memory.bytes).toEqual(0);
  receiver.onHead(200, {}, true);
  receiver.onData(MEGABYTE, undefined);
  close();
  expect(memory.bytes).toEqual(0);
});
