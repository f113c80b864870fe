/** What follows from the exits of servers that ran a request. */
import { test } from 'node:test';
import { expect } from 'earl';
import type { Suspicion } from '../src/crashes/suspicion.js';
import { isExplainedByOthers } from '../src/crashes/explanation.js';
import type { IdentityKind } from '../src/crashes/requestIdentity.js';
import {
  isShutOut,
  readSuspicion,
  withServerExit,
  withTrial,
  withoutTrial,
} from '../src/crashes/suspicion.js';

const END = { server: 's-1', trial: '' };

test('should shut a request out after three server exits, one of them during a trial', () => {
  const ends = (...trials: string[]): Suspicion => ({
    ends: trials.map((trial, index) => ({ server: `s-${index}`, trial })),
  });
  expect(isShutOut(ends('', 'r'))).toEqual(false);
  expect(isShutOut(ends('', 'r', 'q'))).toEqual(true);
  // when a rack fails, many servers exit at the same moment
  expect(isShutOut(ends('', '', '', '', ''))).toEqual(false);
});

test('should count a server exit once, however many report it', () => {
  const twice = withServerExit(withServerExit(undefined, END), END);
  expect(twice.ends).toEqual([END]);
  const trial = { server: 's-1', trial: 'r' };
  expect(withServerExit(twice, trial).ends).toEqual([trial]);
  expect(withServerExit(withServerExit(twice, trial), END).ends).toEqual([trial]);
});

test('should keep only the latest server exits', () => {
  let suspicion: Suspicion = { ends: [] };
  for (let index = 0; index < 20; index++)
    suspicion = withServerExit(suspicion, { server: `s-${index}`, trial: 'r' });
  expect([suspicion.ends.length, suspicion.ends.at(-1)?.server]).toEqual([8, 's-19']);
});

test('should allow one trial at a time', () => {
  const trial = { box: 'a', request: 'r', milliseconds: 1 };
  const other = { box: 'b', request: 'q', milliseconds: 1 };
  const tried = withTrial({ ends: [END] }, trial);
  expect(withTrial(tried, other).trial).toEqual(trial);
  expect(withTrial(tried, other, 'r').trial).toEqual(other);
  expect(withoutTrial(tried, 'q').trial).toEqual(trial);
  expect(withoutTrial(tried, 'r').trial).toEqual(undefined);
});

test('should read only valid suspicions', () => {
  expect(readSuspicion({ ends: [END] }).isOk()).toEqual(true);
  for (const value of [null, 'text', {}, { ends: [{}] }, { ends: [], trial: { box: 7 } }])
    expect(readSuspicion(value).isErr()).toEqual(true);
});

/** A suspicion of exits of these servers, the last of them during a trial. */
function exitsOf(...servers: string[]): Suspicion {
  return {
    ends: servers.map((server, index) => ({ server, trial: index === servers.length - 1 ? 'r' : '' })),
  };
}

function explains(suspicion: Suspicion, kind: IdentityKind, others: Record<string, Suspicion>): boolean {
  return isExplainedByOthers(
    { kind, fingerprint: 'own' },
    suspicion,
    new Set(['own']),
    Object.entries(others),
  );
}

test('should treat exits as explained if what is shut out had all of them but one', () => {
  const suspicion = exitsOf('a', 'b', 'c');
  expect(explains(suspicion, 'request', { f: exitsOf('a', 'c', 'd') })).toEqual(true);
  expect(explains(suspicion, 'request', { f: exitsOf('a', 'd', 'e') })).toEqual(false);
  expect(explains(suspicion, 'request', { own: exitsOf('a', 'b', 'c') })).toEqual(false);
});

test('should not explain exits by what has far fewer, unless a single request was beside several parts', () => {
  const suspicion = exitsOf('a', 'b', 'c', 'd');
  const parts = { 'part-1-s': exitsOf('a', 'b'), 'part-2-s': exitsOf('c', 'e') };
  expect(explains(suspicion, 'prompt-part', parts)).toEqual(false);
  expect(explains(suspicion, 'request', parts)).toEqual(true);
  expect(explains(suspicion, 'request', { f: exitsOf('a', 'b'), g: exitsOf('c', 'e') })).toEqual(false);
});

test('should explain the exits of a part by one request, not by several that may be its bystanders', () => {
  const suspicion = exitsOf('a', 'b', 'c', 'd');
  expect(explains(suspicion, 'prompt-part', { f: exitsOf('a', 'b', 'c') })).toEqual(true);
  const bystanders = { f: exitsOf('a', 'b', 'e'), g: exitsOf('c', 'd', 'e') };
  expect(explains(suspicion, 'prompt-part', bystanders)).toEqual(false);
});
