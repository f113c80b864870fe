/** Answers of agents that an entry does not read. */
import { afterEach, test } from 'node:test';
import { expect } from 'earl';
import type { Backend } from '../src/routing/backend.js';
import type { CallerRequest } from '../src/requests/callerRequest.js';
import { AgentClient } from '../src/requests/agentClient.js';
import { pause } from '../src/utils/timers.js';
import { RawServer } from './fixtures/rawServer.js';

let server: RawServer;

afterEach(() => server.close());

/** Guards against an unhandled error, which would end the process and all that it serves. */
test('should survive an answer that names another request', async () => {
  const head = 'HTTP/1.1 503 Service Unavailable\r\nLarklatch-Request-Id: other\r\nContent-Length: 2\r\n\r\n';
  server = new RawServer((socket) => void socket.write(`${head}{}`));
  const [address, port] = (await server.listen()).split(':');
  const backend = { address, httpPort: Number(port), lost: new AbortController().signal };
  const name = { customer: 'korrigan', configuration: 'judge' };
  const request = { id: 'own', name, method: 'POST', path: '/', body: Buffer.alloc(0), contentType: '' };
  const result = await new AgentClient('token', 1_000).send({
    request: { ...request, priority: 'normal' } as CallerRequest,
    backend: backend as unknown as Backend,
    ledger: undefined,
    deadlineMilliseconds: undefined,
    signal: new AbortController().signal,
  });
  // The error comes in a later turn of the event loop.
  await pause(20);
  expect(result.kind === 'refused' && result.reason).toEqual('backend-lost');
});
