/** Tests the log lines about live entries. */
import { test } from 'node:test';
import { expect } from 'earl';
import { LiveEntryLog } from '../src/serving/liveEntryLog.js';
import { ManualClock } from '../src/utils/clock.js';
import { createRecordingLog } from './fixtures/recordingLog.js';

test('should log when an entry becomes live, and which agents listed it when it no longer is', () => {
  const clock = new ManualClock();
  const { log, lines } = createRecordingLog();
  const live = new LiveEntryLog(clock, log);
  clock.advance(1_000);
  live.update(new Map([['b', { agents: ['one'], heardAt: 1_000 }]]));
  clock.advance(500);
  live.update(new Map([['b', { agents: ['one', 'two'], heardAt: 1_500 }]]));
  clock.advance(300);
  live.update(new Map());
  const logged = lines.map(({ step, entry, agents, age, liveFor }) => [step, entry, agents, age, liveFor]);
  expect(logged).toEqual([
    ['entry.live', 'b', ['one'], undefined, undefined],
    ['entry.not-live', 'b', ['one', 'two'], 300, 800],
  ]);
});

test('should log the last agents that listed an entry that was only remembered', () => {
  const clock = new ManualClock();
  const { log, lines } = createRecordingLog();
  const live = new LiveEntryLog(clock, log);
  live.update(new Map([['b', { agents: ['one'], heardAt: 0 }]]));
  clock.advance(700);
  live.update(new Map([['b', { agents: [], heardAt: Number.NEGATIVE_INFINITY }]]));
  live.update(new Map());
  expect(lines.map(({ step }) => step)).toEqual(['entry.live', 'entry.not-live']);
  expect([lines[1].agents, lines[1].age]).toEqual([['one'], 700]);
});
