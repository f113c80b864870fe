/** When entries tell each other what counts on since the store came back from an older copy. */
import { test } from 'node:test';
import { expect } from 'earl';
import { HeldExchange } from '../src/records/heldExchange.js';

test('should tell a source that holds less, and ask one that holds more, once for each difference', () => {
  const exchange = new HeldExchange();
  expect([exchange.next('config', 1, 0), exchange.next('config', 1, 0)]).toEqual(['tell', 'nothing']);
  expect([exchange.next('servers', 0, 3), exchange.next('servers', 0, 3)]).toEqual(['ask', 'nothing']);
  expect([exchange.next('config', 2, 0), exchange.next('config', 0, 1)]).toEqual(['tell', 'ask']);
});

test('should say nothing where both hold as much', () => {
  expect(new HeldExchange().next('config', 2, 2)).toEqual('nothing');
});
