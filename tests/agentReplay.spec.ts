/** Stored answers as an agent sends them again. */
import net from 'node:net';
import { text } from 'node:stream/consumers';
import { afterEach, test } from 'node:test';
import { ok } from 'neverthrow';
import { expect } from 'earl';
import type { AgentHttpOptions } from '../src/agent/agentHttpServer.js';
import { AgentHttpServer } from '../src/agent/agentHttpServer.js';
import { ClientLimits } from '../src/limits/clientLimits.js';
import { httpToken } from '../src/protocol/authentication.js';
import { quietLog } from './fixtures/quietLog.js';

const SHARED_KEY = 'a key for the tests';

let server: AgentHttpServer | undefined;

afterEach(() => server?.close());

/** Guards against a part of an answer that looks whole since a killed agent's connections are closed in order. */
test('should send a stored answer with its length to a client that takes no chunks', async () => {
  const answer = { status: 200, contentType: 'text/plain', version: 'v1', body: Buffer.from('stored') };
  const options = {
    box: 'box',
    limits: new ClientLimits({}, { log: quietLog() }),
    sharedKey: SHARED_KEY,
    gate: { admit: () => ok({ kind: 'replay', answer }) },
    queue: { running: 0, waiting: 0 },
  };
  server = new AgentHttpServer(options as unknown as AgentHttpOptions);
  const socket = net.connect(await server.listen('127.0.0.1', 0), '127.0.0.1');
  socket.write(`GET /requests/ HTTP/1.0\r\nAuthorization: Bearer ${httpToken(SHARED_KEY, 'entry')}\r\n\r\n`);
  expect(await text(socket)).toMatchRegex(/content-length: 6\r\n(.*\r\n)*\r\nstored$/i);
});
