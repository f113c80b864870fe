/** When entries exchange the records that they retain after a rollback of the store. */
import { test } from 'node:test';
import { expect } from 'earl';
import { RetainedExchange } from '../src/records/retainedExchange.js';

test('should send to a source that retains fewer, and request from one that retains more, once for each difference', () => {
  const exchange = new RetainedExchange();
  expect([exchange.next('config', 1, 0), exchange.next('config', 1, 0)]).toEqual(['send', 'nothing']);
  expect([exchange.next('servers', 0, 3), exchange.next('servers', 0, 3)]).toEqual(['request', 'nothing']);
  expect([exchange.next('config', 2, 0), exchange.next('config', 0, 1)]).toEqual(['send', 'request']);
});

test('should do nothing when both retain the same number', () => {
  expect(new RetainedExchange().next('config', 2, 2)).toEqual('nothing');
});
