/** Distinguishes the exit of a server from a closed connection, with real connections. */
import net from 'node:net';
import { test } from 'node:test';
import { expect } from 'earl';
import { ServerExitChecker } from '../src/crashes/serverExitChecker.js';
import { EventLog } from '../src/telemetry/eventLog.js';
import { freePort } from './fixtures/freePort.js';

function checkerWithLog(): { checker: ServerExitChecker; lines: string[] } {
  const lines: string[] = [];
  const log = new EventLog({ write: (line) => void lines.push(line) }, 'decision');
  return { checker: new ServerExitChecker(log), lines };
}

test('should report an exit if nothing listens at the address, with one check for concurrent calls', async () => {
  const { checker, lines } = checkerWithLog();
  const server = { id: 'a', address: `127.0.0.1:${await freePort()}`, startedAt: 0 };
  expect(await Promise.all([checker.hasExited(server), checker.hasExited(server)])).toEqual([true, true]);
  expect(lines.length).toEqual(1);
  expect(lines[0]).toInclude('"ended":true,"outcome":"ECONNREFUSED"');
});

test('should not report an exit if the server accepts or resets connections', async () => {
  for (const onConnection of [
    (): void => undefined,
    (socket: net.Socket): void => void socket.resetAndDestroy(),
  ]) {
    const listener = net.createServer(onConnection);
    await new Promise<void>((resolve) => listener.listen(0, '127.0.0.1', resolve));
    const { port } = listener.address() as net.AddressInfo;
    const { checker: ends } = checkerWithLog();
    expect(await ends.hasExited({ id: 'a', address: `127.0.0.1:${port}`, startedAt: 0 })).toEqual(false);
    listener.close();
  }
});

/** Guards against a failed check that counts as a sign of life, or as an exit that the request is blamed for. */
test('should know nothing of a server if the check fails', async () => {
  const { checker, lines } = checkerWithLog();
  const server = { id: 'a', address: '255.255.255.255:1', startedAt: 0 };
  expect([await checker.processState(server), await checker.hasExited(server)]).toEqual(['unknown', false]);
  expect(lines[0]).not.toInclude('"outcome":"connected"');
});
