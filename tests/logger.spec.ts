/** Logger: the rate limit of log lines. */
import { spawnSync } from 'node:child_process';
import { test } from 'node:test';
import { expect } from 'earl';

/** Guards against clients that fill the memory, or a disk, by what makes an agent or entry write a line. */
test('should limit the lines of one step per second, and write those of others before the process exits', () => {
  const module = new URL('../src/telemetry/logger.js', import.meta.url).href;
  const script = `
    import { Logger, enableLogs, flushLogs } from '${module}';
    enableLogs('state');
    const logger = new Logger('agent');
    for (let line = 0; line < 2000; line++) logger.state('control.refused', { line });
    logger.state('agent.stopped');
    await flushLogs?.();
    process.exit(0);`;
  const env = { ...process.env, DEBUG: '' };
  const run = spawnSync(process.execPath, ['--input-type=module', '--eval', script], {
    encoding: 'utf8',
    env,
  });
  const lines = run.stderr.split('\n');
  const refused = lines.filter((line) => line.includes('control.refused')).length;
  expect(refused >= 100 && refused < 1_000).toEqual(true);
  expect(lines.some((line) => line.includes('agent.stopped'))).toEqual(true);
});
