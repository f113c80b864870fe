/** When entries tell each other what is retained since the store was rolled back. */
import { test } from 'node:test';
import { expect } from 'earl';
import { RetainedExchange } from '../src/records/retainedExchange.js';

test('should tell a source that holds less, and ask one that holds more, once for each difference', () => {
  const exchange = new RetainedExchange();
  expect([exchange.next('config', 1, 0), exchange.next('config', 1, 0)]).toEqual(['tell', 'nothing']);
  expect([exchange.next('servers', 0, 3), exchange.next('servers', 0, 3)]).toEqual(['ask', 'nothing']);
  expect([exchange.next('config', 2, 0), exchange.next('config', 0, 1)]).toEqual(['tell', 'ask']);
});

test('should say nothing where both hold as much', () => {
  expect(new RetainedExchange().next('config', 2, 2)).toEqual('nothing');
});
