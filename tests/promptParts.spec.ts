/** Reading the parts of a prompt, whose header callers may fill with anything. */
import { test } from 'node:test';
import { expect } from 'earl';
import { sharedPromptParts } from '../src/serving/promptParts.js';

test('should return all parts but the last, which is the own part of the request', () => {
  expect(sharedPromptParts('5c1e07a2:800,91bd3f06:410,e4402b7d:250')).toEqual(['5c1e07a2', '91bd3f06']);
  expect(sharedPromptParts('e4402b7d:250')).toEqual([]);
});

test('should recognise a part in any spelling of its id', () => {
  expect(sharedPromptParts('0AB:1, 00ab:2 ,c:3')).toEqual(['ab']);
  expect(sharedPromptParts('0:1,c:3')).toEqual(['0']);
});

test('should find no parts in a header that is not a list of parts', () => {
  for (const header of [undefined, '', 'xyz:1,a:2', 'a,b', 'a:,b:1', 'a:1,,b:2', 'a:-1,b:1', '…'])
    expect(sharedPromptParts(header)).toEqual([]);
});

test('should bound the number of parts', () => {
  const header = Array.from({ length: 1_000 }, (_unused, index) => `${index.toString(16)}:1`).join(',');
  expect(sharedPromptParts(header).length).toEqual(64);
});
