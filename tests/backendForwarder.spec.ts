/** Tests how an agent reports its backend server's answers to an entry. */
import http from 'node:http';
import net from 'node:net';
import { text } from 'node:stream/consumers';
import { test } from 'node:test';
import { expect } from 'earl';
import { BackendForwarder } from '../src/agent/backendForwarder.js';
import type { RequestPermit } from '../src/agent/requestGate.js';
import { Ledger } from '../src/requests/ledger.js';
import { Logger } from '../src/telemetry/logger.js';
import { ManualClock } from '../src/utils/clock.js';
import { listenHttp } from '../src/utils/httpServer.js';

const PERMIT = {
  kind: 'run',
  version: { plan: { version: 'v1' } },
  admission: { ready: Promise.resolve(true), release: () => undefined },
  end: () => undefined,
} as unknown as RequestPermit;

/** Returns the answer of an agent as an entry receives it, or the reason of a refusal. */
async function ask(port: number): Promise<Response | string> {
  const answer = await fetch(`http://127.0.0.1:${port}`);
  const body = await answer.text();
  return answer.headers.has('larklatch-outcome') ? answer : body;
}

/** Returns all that an agent sends to a client of HTTP/1.0. */
async function askWithoutChunks(port: number): Promise<string> {
  const socket = net.connect(port, '127.0.0.1');
  socket.write('GET / HTTP/1.0\r\n\r\n');
  return await text(socket).catch(() => '');
}

function emptyLedger(): Ledger {
  return new Ledger({
    clock: new ManualClock(),
    keyLifetimeMilliseconds: 1,
    blindMilliseconds: 1,
    maximumKeys: 1,
    maximumAnswerBytes: 10_000,
  });
}

/** Forwards a request to `backend`. Returns the answer that `asked` gets. */
async function forward(
  backend: http.RequestListener,
  asked = ask,
  ledger = emptyLedger(),
  ledgerKey?: string,
): Promise<Response | string> {
  const server = http.createServer(backend);
  const url = `http://127.0.0.1:${await listenHttp(server, '127.0.0.1', 0)}`;
  const forwarder = new BackendForwarder(url, ledger, new Logger('test'));
  const request = {
    method: 'POST',
    path: '/',
    contentType: 'text/plain',
    body: Buffer.from('x'),
    requestId: 'r',
    customer: 'c',
  };
  const agent = http.createServer((_request, response) => {
    void forwarder
      .forward({ ...request, idempotencyKey: '', priority: 'normal', ledgerKey }, PERMIT, response)
      .then((refusal) => {
        if (refusal) response.end(refusal.reason);
      });
  });
  const port = await listenHttp(agent, '127.0.0.1', 0);
  try {
    return await asked(port);
  } finally {
    for (const each of [server, agent]) {
      each.close();
      each.closeAllConnections();
    }
  }
}

test('should report the version that the backend server names', async () => {
  const answer = (await forward((_request, response) =>
    response.setHeader('larklatch-version', 'v2').end('done'),
  )) as Response;
  expect(answer.headers.get('larklatch-version')).toEqual('v2');
});

test('should report the planned version when the backend server names none', async () => {
  const answer = (await forward((_request, response) => response.end('done'))) as Response;
  expect(answer.headers.get('larklatch-version')).toEqual('v1');
});

test('should refuse with backend-lost when the backend server closes the connection without an answer', async () => {
  expect(await forward((request) => request.socket.destroy())).toEqual('backend-lost');
});

/** Guards against a part of an answer that the entry takes for all of it. */
test('should break off an answer without length whose connection is reset', async () => {
  const answer = forward((_request, response) => {
    response.useChunkedEncodingByDefault = false;
    response.writeHead(200).write('part', () => response.socket?.resetAndDestroy());
  });
  await expect(answer).toBeRejected();
});

test('should break off an answer without length whose backend server exits', async () => {
  const answer = forward((request, response) => {
    response.useChunkedEncodingByDefault = false;
    response.writeHead(200).write('part', () => {
      (request.socket as { server?: http.Server }).server?.close();
      response.socket?.end();
    });
  });
  await expect(answer).toBeRejected();
});

/** Guards against a part of an answer that looks whole because a supervisor has replaced its killed server. */
test('should break off an answer without length whose backend server is replaced', async () => {
  const next = http.createServer();
  const answer = forward((request, response) => {
    const { localAddress, localPort } = request.socket;
    const { server } = request.socket as unknown as { server: http.Server };
    response.useChunkedEncodingByDefault = false;
    response.writeHead(200).write('part');
    setTimeout(() => {
      server.close();
      server.closeAllConnections();
      next.listen(localPort, localAddress);
    }, 30);
  });
  await expect(answer).toBeRejected();
  next.close();
});

test('should send an answer with its length to a client that takes no chunks', async () => {
  const answer = await forward((_request, response) => void response.end('done'), askWithoutChunks);
  expect(answer as string).toMatchRegex(/content-length: 4\r\n(.*\r\n)*\r\ndone$/i);
});

/** Guards against a part that looks whole since its connection is closed in order. */
test('should send nothing of an answer that was broken off to a client that takes no chunks', async () => {
  const breaksOff: http.RequestListener = (_request, response) =>
    response.write('part', () => response.socket?.resetAndDestroy());
  expect(await forward(breaksOff, askWithoutChunks)).toEqual('');
});

test('should refuse with backend-lost when the answer has a status that is none', async () => {
  const answer = forward((_request, response) => void response.writeHead(999).end('done'));
  expect(await answer).toEqual('backend-lost');
});

/** Guards against small answers that each retain a block of the buffer pool, beyond the limit on stored answers. */
test('should store an answer in memory of its own', async () => {
  const ledger = emptyLedger();
  await forward((_request, response) => response.end('done'), ask, ledger, 'c.s.k');
  const request = { key: 'c.s.k', slot: 0, slotEpoch: 0, ticketed: false };
  const decision = ledger.check('c.s', request);
  const body = decision.kind === 'answered' ? decision.answer.body : Buffer.alloc(0);
  expect([body.toString(), body.buffer.byteLength]).toEqual(['done', 4]);
});
