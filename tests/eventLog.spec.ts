/** EventLog: format, levels and rate limit of log lines. */
import { spawnSync } from 'node:child_process';
import { test } from 'node:test';
import { expect } from 'earl';
import { EventLog } from '../src/telemetry/eventLog.js';

const MANY = 1_000;

test('should write one JSON object per line, with the common fields', () => {
  const lines: string[] = [];
  new EventLog({ write: (line) => void lines.push(line) }, 'state', { box: 'b' }).state('start', { port: 1 });
  const parsed = JSON.parse(lines[0]);
  expect([parsed.step, parsed.box, parsed.port]).toEqual(['start', 'b', 1]);
  expect(lines[0].endsWith('\n')).toEqual(true);
});

test('should not write decisions at level state', () => {
  const lines: string[] = [];
  const log = new EventLog({ write: (line) => void lines.push(line) }, 'state');
  log.decision('request.sent');
  expect(lines).toEqual([]);
});

test('should limit the lines of one step per second, and count the dropped ones', () => {
  const lines: string[] = [];
  const log = new EventLog({ write: (line) => void lines.push(line) }, 'decision');
  for (let line = 0; line < MANY; line++) log.decision('request.sent');
  log.decision('request.refused');
  expect(lines.length < MANY / 2).toEqual(true);
  expect(log.droppedLines).toEqual(MANY + 1 - lines.length);
  expect(lines.at(-1)?.includes('request.refused')).toEqual(true);
});

/** Guards against callers with long request ids, whose lines leave no room for others in the buffer. */
test('should cut long texts', () => {
  const lines: string[] = [];
  const log = new EventLog({ write: (line) => void lines.push(line) }, 'decision', { box: 'b' });
  log.decision('request.sent', { request: 'x'.repeat(60_000), server: 's' });
  expect(lines[0].length < 3_000).toEqual(true);
  const { request, box, server } = JSON.parse(lines[0]);
  expect([request.endsWith('… (60000 characters)'), box, server]).toEqual([true, 'b', 's']);
});

/** Guards against losing the last lines of a process, which tell how its requests ended. */
test('should have written all lines before the process exits', () => {
  const module = new URL('../src/telemetry/eventLog.js', import.meta.url).href;
  const script = `
    import { EventLog, standardOutputSink } from '${module}';
    const log = new EventLog(standardOutputSink(), 'decision');
    for (let line = 0; line < 20; line++) log.decision('request.cut', { line });
    await log.flush();
    process.exit(0);`;
  const run = spawnSync(process.execPath, ['--input-type=module', '--eval', script], { encoding: 'utf8' });
  expect(run.stdout.split('\n').filter((line) => line.includes('request.cut')).length).toEqual(20);
});
