/** The gateway process as the platform starts it: settings file, store, requests, SIGHUP and SIGTERM. */
import { spawn, spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync } from 'node:fs';
import { open } from 'node:fs/promises';
import http from 'node:http';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { after, before, test } from 'node:test';
import { expect } from 'earl';
import { EntryProcess } from './fixtures/entryProcess.js';
import { until } from './fixtures/until.js';

const SLOW_ANSWER_MILLISECONDS = 600;

let entry: EntryProcess;

async function get(
  address: string,
  target: string,
  headers: Record<string, string> = {},
): Promise<[number, string]> {
  const [host, port] = address.split(':');
  return await new Promise((resolve, reject) => {
    const request = http.get({ host, port, path: target, headers, agent: false }, (answer) => {
      let body = '';
      answer.on('data', (piece: Buffer) => (body += piece.toString()));
      answer.on('end', () => resolve([answer.statusCode ?? 0, body]));
    });
    request.once('error', reject);
  });
}

before(async () => {
  entry = new EntryProcess('127.0.2.1', ({ socket, headers, path: target }) => {
    const id = headers.get('x-attempt-id') ?? '';
    const answer = `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nX-Server-Seal: s\r\nContent-Length: 4\r\n\r\nbody`;
    setTimeout(() => socket.write(answer), target === '/a/slow' ? SLOW_ANSWER_MILLISECONDS : 0);
  });
  await entry.start();
});

after(() => entry.close());

test("should serve a request with the platform's header names", async () => {
  expect((await get(entry.ready, '/readyz'))[0]).toEqual(200);
  const [status, answer] = await get(entry.directory, '/resolve?name=host.example&region=r&zone=north');
  expect([status, JSON.parse(answer)]).toEqual([200, { addresses: [entry.front], ttl_s: 2 }]);
  const headers = {
    host: 'host.example',
    'X-Attempt-Id': '9c41d07be2a35f68',
    'X-Deadline-Ms': '3000',
    Authorization: 'Bearer key',
    'X-Tenant': 'forged',
  };
  expect(await get(entry.front, '/a/x?q=1', headers)).toEqual([200, 'body']);
  const [arrived] = entry.backend.arrived;
  expect(arrived.path).toEqual('/a/x?q=1');
  expect(arrived.headers.get('x-tenant')).toEqual('studio');
  expect(arrived.headers.get('x-target-instance')).toEqual('i-1');
  expect(arrived.headers.has('authorization')).toEqual(false);
});

test('should only log a line on SIGHUP', async () => {
  entry.process.kill('SIGHUP');
  await until(() => entry.output.includes('gateway.reload'));
  expect((await get(entry.ready, '/readyz'))[0]).toEqual(200);
});

test('should write log lines as JSON with the box', () => {
  const lines = entry.output.trim().split('\n');
  expect(lines.every((line) => JSON.parse(line).box === 'edge-north-1')).toEqual(true);
});

test('should not exit on a SIGHUP while it starts', async () => {
  const pipe = path.join(mkdtempSync(path.join(tmpdir(), 'early-')), 'boot.json');
  spawnSync('mkfifo', [pipe]);
  const early = spawn(process.execPath, ['dist/platform/main.js', 'entry'], {
    env: { LARKLATCH_CONFIG: pipe, LARKLATCH_SHARED_KEY: 'a key for the tests' },
    stdio: ['ignore', 'ignore', 'pipe'],
  });
  let errors = '';
  early.stderr!.on('data', (bytes: Buffer) => (errors += bytes.toString()));
  const ended = new Promise<[number | null, string | null]>((resolve) =>
    early.once('exit', (code, signal) => resolve([code, signal])),
  );
  // resolves when the process has opened the pipe and waits to read its settings
  const writer = await open(pipe, 'w');
  early.kill('SIGHUP');
  await writer.writeFile('{}');
  await writer.close();
  expect(await ended).toEqual([2, null]);
  expect(errors).toMatchRegex(/node_name/);
});

test('should handle signals before it loads other modules', () => {
  const imported = (file: string): string[] =>
    [...readFileSync(`dist/platform/${file}`, 'utf8').matchAll(/^import .*?'([^']+)'/gm)].map(
      ([, name]) => name,
    );
  expect(imported('main.js')).toEqual(['./earlySignals.js']);
  expect(imported('earlySignals.js')).toEqual([]);
  const bundled = imported('bundledMain.js').filter((name) => !name.startsWith('node:'));
  expect(bundled).toEqual(['./codeCache.js', './earlySignals.js']);
});

/** Guards against a second SIGTERM that cuts the requests in flight. */
test('should shut down gracefully on SIGTERM, however often it comes', async () => {
  const exited = new Promise<number | null>((resolve) => entry.process.once('exit', resolve));
  const answer = get(entry.front, '/a/slow', { host: 'host.example', Authorization: 'Bearer key' });
  await until(() => entry.backend.arrived.some(({ path: target }) => target === '/a/slow'));
  entry.process.kill('SIGTERM');
  await until(() => entry.output.includes('gateway.leaving'));
  entry.process.kill('SIGTERM');
  expect(await answer).toEqual([200, 'body']);
  expect((await get(entry.ready, '/readyz'))[0]).toEqual(503);
  expect((await get(entry.directory, '/resolve?zone=north'))[0]).toEqual(503);
  expect(await exited).toEqual(0);
});
