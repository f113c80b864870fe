/** How a repeated request is recognized. */
import { test } from 'node:test';
import { expect } from 'earl';
import { requestFingerprint } from '../src/crashes/requestFingerprint.js';

const PARTS = { customer: 'one', host: 'h', method: 'POST', path: '/a/x?q=1', body: Buffer.from('body') };

test('should give a repeated request the same fingerprint', () => {
  expect(requestFingerprint({ ...PARTS, body: Buffer.from('body') })).toEqual(requestFingerprint(PARTS));
});

for (const [what, changes] of [
  ['customer', { customer: 'two' }],
  ['host', { host: 'other' }],
  ['method', { method: 'PUT' }],
  ['query', { path: '/a/x?q=2' }],
  ['body', { body: Buffer.from('other') }],
  ['boundaries between the parts', { customer: 'on', host: 'eh' }],
] as const) {
  test(`should distinguish requests by their ${what}`, () => {
    expect(requestFingerprint({ ...PARTS, ...changes })).not.toEqual(requestFingerprint(PARTS));
  });
}

test('should be a valid object name that reveals no data of the customer', () => {
  expect(/^[0-9a-f]{32}$/.test(requestFingerprint(PARTS))).toEqual(true);
});
