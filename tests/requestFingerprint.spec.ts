/** By what a request is known when it comes again. */
import { test } from 'node:test';
import { expect } from 'earl';
import { requestFingerprint } from '../src/crashes/requestFingerprint.js';

const PARTS = { customer: 'one', host: 'h', method: 'POST', path: '/a/x?q=1', body: Buffer.from('body') };

test('should know the same request again', () => {
  expect(requestFingerprint({ ...PARTS, body: Buffer.from('body') })).toEqual(requestFingerprint(PARTS));
});

for (const [what, changes] of [
  ['customer', { customer: 'two' }],
  ['host', { host: 'other' }],
  ['method', { method: 'PUT' }],
  ['query', { path: '/a/x?q=2' }],
  ['body', { body: Buffer.from('other') }],
  ['place of the parts', { customer: 'on', host: 'eh' }],
] as const) {
  test(`should tell requests apart by their ${what}`, () => {
    expect(requestFingerprint({ ...PARTS, ...changes })).not.toEqual(requestFingerprint(PARTS));
  });
}

test('should give a name that fits a store and holds no text of the customer', () => {
  expect(/^[0-9a-f]{32}$/.test(requestFingerprint(PARTS))).toEqual(true);
});
