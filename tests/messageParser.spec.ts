/** Validation of control messages: the cheap parser must decide as the schemas do. */
import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import type { Message } from '../src/protocol/message.js';
import { schemaOf } from '../src/protocol/message.js';
import { parseMessage } from '../src/protocol/messageParser.js';
import { QuickParser } from '../src/protocol/quickParser.js';

const STATUS = {
  type: 'box-status',
  state: 'serving',
  model: 'm',
  version: 3,
  running: 2,
  queued: 0,
  slowLink: false,
};
const STAMP = {
  type: 'record-stamp',
  withChanges: true,
  confirmedMilliseconds: 1.5,
  regainedMilliseconds: null,
  lost: false,
  revisions: { servers: 4 },
  newestChanges: {},
  retained: {},
};
const MESSAGES: readonly Record<string, unknown>[] = [
  STATUS,
  { ...STATUS, startedAt: 17 },
  STAMP,
  { type: 'link-probe', number: 1 },
  { type: 'switch-state', version: 1, state: 'staged' },
];
const odd = fc.oneof(
  fc.constantFrom(undefined, null, -1, -0, 0.5, NaN, Infinity, 2 ** 53, '', 'empty', true, [], {}, 7n),
  fc.constantFrom({ a: -1 }, { a: 1 }, { a: '1' }, [1], new Map([['a', 1]]), Object.create({ a: 1 })),
  fc.anything(),
);

function outcomeOf(parse: () => unknown): unknown {
  try {
    return { data: parse() };
  } catch {
    return 'rejected';
  }
}

test('should accept, reject and convert messages exactly as their schemas do', () => {
  const changes = fc.constantFrom(...MESSAGES).chain((message) =>
    fc.tuple(
      fc.constant(message),
      fc.constantFrom(...Object.keys(message), 'startedAt', 'unknown').filter((key) => key !== 'type'),
      odd,
      fc.boolean(),
    ),
  );
  const check = fc.property(changes, ([message, key, value, isRemoved]) => {
    const changed: Record<string, unknown> = { ...message, [key]: value };
    if (isRemoved) delete changed[key];
    const bySchema = outcomeOf(() => schemaOf(message.type as string)!.parse(changed));
    expect(outcomeOf(() => parseMessage(changed))).toEqual(bySchema);
  });
  fc.assert(check, { numRuns: 3_000 });
});

/** Guards against a change of zod or of a schema by which the frequent messages would silently lose the cheap way. */
test('should have a quick parser for the frequent messages', () => {
  for (const message of MESSAGES)
    expect(QuickParser.of(schemaOf(message.type as string)!)?.parse(message)).toEqual(message);
});

test('should ignore unknown types, drop unknown fields, and reject frames without a type', () => {
  expect(parseMessage({ type: 'of-a-newer-build' })).toEqual(undefined);
  expect(parseMessage({ ...STATUS, ofNewerBuild: 2.5 })).toEqual(STATUS as Message);
  for (const frame of [null, 7, 'box-status', [], {}, { type: 3 }, { ...STATUS, version: undefined }])
    expect(() => parseMessage(frame)).toThrow('bad message');
});
