/** Installs packages if the lock file is newer than node_modules, then builds. Runs before demo, test, bench and soak. */
import { spawnSync } from 'node:child_process';
import { existsSync, statSync } from 'node:fs';

const installed = 'node_modules/.package-lock.json';

function run(command, args) {
  const result = spawnSync(command, args, { stdio: ['ignore', 'inherit', 'inherit'] });
  if (result.status !== 0) process.exit(result.status ?? 1);
}

if (!existsSync(installed) || statSync(installed).mtimeMs < statSync('package-lock.json').mtimeMs) {
  run('npm', ['ci', '--no-audit', '--no-fund']);
}
run(process.execPath, ['node_modules/typescript/bin/tsc', '-p', 'tsconfig.json']);
