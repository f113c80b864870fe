import { test } from 'node:test';
import { expect } from 'earl';
import { Replica } from '../src/configuration/replica.js';
import { Replicator } from '../src/membership/replicator.js';
import type { Box } from '../src/external/boxList.js';
import type { ControlOptions } from '../src/protocol/controlConnection.js';
import { ControlConnection } from '../src/protocol/controlConnection.js';
import { ControlServer } from '../src/protocol/controlServer.js';
import { Logger } from '../src/telemetry/logger.js';
import { SystemClock } from '../src/utils/clock.js';
import { SeededRandom } from '../src/utils/random.js';
import { pause } from '../src/utils/timers.js';

const RECORD = { key: 'customer/a', revision: 1, value: {}, deleted: false };

function options(box: string): ControlOptions {
  return {
    key: 'the-shared-key',
    identity: { role: 'entry', box, dataCentre: `data-centre-of-${box}` },
    peerTimeoutMilliseconds: 5_000,
  };
}

function listedBox(box: string): Box {
  const endpoint = { address: '127.0.0.1', httpPort: 1, controlPort: 1, state: 'live' as const };
  return { ...endpoint, box, role: 'entry', dataCentre: `data-centre-of-${box}` };
}

test('should accept the confirmation of a peer that connects while another peer is silent', async () => {
  const replicator = new Replicator({
    control: options('self'),
    replica: new Replica(),
    clock: new SystemClock(),
    random: new SeededRandom(1),
    logger: new Logger('test'),
    entries: () => ['self', 'silent', 'late'].map((box) => listedBox(box)),
  });
  const server = new ControlServer(
    options('self'),
    (connection) => replicator.attach(connection),
    () => undefined,
  );
  const port = await server.listen('127.0.0.1', 0);
  const silent = await ControlConnection.connect('127.0.0.1', port, options('silent'));
  const confirmed = replicator.confirm(RECORD);
  await pause(100);
  const late = await ControlConnection.connect('127.0.0.1', port, options('late'));
  late.on('message', (message) => {
    if (message.type === 'records' && message.call !== undefined)
      late.reply(message.call, { accepted: true });
  });
  late.start();
  expect(await confirmed).toEqual(true);
  silent.close('done');
  late.close('done');
  replicator.close();
  server.close();
});
