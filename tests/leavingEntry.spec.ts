/** Requests to an entry that has been asked to stop. */
import { once } from 'node:events';
import http from 'node:http';
import net from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { expect } from 'earl';
import { pause } from '../src/utils/timers.js';
import { answers, chunkOf, events, streamHead, unframedStreamHead } from '../standins/scriptedBackend.js';
import type { Script } from '../standins/scriptedBackend.js';
import type { CallerAnswer } from './fixtures/gatewayFixture.js';
import { GatewayFixture } from './fixtures/gatewayFixture.js';
import { STREAM_SERVICE, routeFixture } from './fixtures/servingFixture.js';
import { until } from './fixtures/until.js';

let fixture: GatewayFixture;

beforeEach(() => {
  fixture = new GatewayFixture();
});

afterEach(() => fixture.stop());

const LONG_ROUTE = routeFixture({ kind: 'stream', resumable: true, timeoutMilliseconds: 6_000 });
const STREAM = { routes: [LONG_ROUTE], services: [STREAM_SERVICE] };

/** Sends `count` events, one every `milliseconds`. */
function streamOf(count: number, milliseconds: number): Script {
  return (request) => {
    request.socket.write(streamHead(request));
    let sent = 0;
    const timer = setInterval(() => {
      request.socket.write(chunkOf(events(++sent)));
      if (sent < count) return;
      clearInterval(timer);
      request.socket.write('0\r\n\r\n');
    }, milliseconds);
    request.socket.once('close', () => clearInterval(timer));
  };
}

/** Sends a request whose answer has at most `tokens` tokens; `deadline` is in milliseconds. */
async function askFor(tokens: number, path = '/a/x', deadline = 60_000): Promise<CallerAnswer> {
  const headers = {
    'larklatch-tokens': `100,${tokens}`,
    'larklatch-deadline-milliseconds': String(deadline),
  };
  return await fixture.request({ path, headers });
}

/** How the requests ended that were sent one after the other until the entry accepted no more. */
async function endsWhileLeaving(send: () => Promise<CallerAnswer>, milliseconds: number): Promise<string[]> {
  const ends: Promise<string>[] = [];
  const stopped = fixture.gateway.stop();
  let hasStopped = false;
  void stopped.then(() => (hasStopped = true));
  while (!hasStopped) {
    ends.push(send().then(endOf, () => 'not accepted'));
    await pause(milliseconds);
  }
  return await Promise.all(ends);
}

function endOf({ status, whole }: CallerAnswer): string {
  return whole ? String(status) : `${status} cut`;
}

function distinct(ends: readonly string[]): string[] {
  return [...new Set(ends)].sort();
}

/** Guards against a leaving entry that takes streams which it will cut off when it closes. */
test('should cut no stream that it takes while leaving, and reject the others', async () => {
  await fixture.start(
    Array.from({ length: 4 }, () => streamOf(45, 80)),
    STREAM,
    { drainMilliseconds: 6_000 },
  );
  const ends = await endsWhileLeaving(() => askFor(90, '/a/x', 4_500), 150);
  expect(distinct(ends)).toEqual(['200', '503', 'not accepted']);
  expect(ends.filter((end) => end === '200').length).toBeGreaterThan(3);
});

/** Guards against rejecting everything: what ends long before the close is served until the entry stops listening. */
test('should serve streams that end in time until it stops listening', async () => {
  await fixture.start([streamOf(5, 20)], STREAM, { drainMilliseconds: 3_000 });
  const ends = await endsWhileLeaving(() => askFor(10), 100);
  expect(ends.filter((end) => end === '200').length).toBeGreaterThan(10);
  expect(ends.filter((end) => end.endsWith('cut'))).toEqual([]);
});

/** Guards against the first stream after a start, whose pace nothing has shown yet, being cut off. */
test('should reject a stream without having sent any of it when its first events come too slowly', async () => {
  await fixture.start([streamOf(50, 100)], STREAM, { drainMilliseconds: 3_000 });
  const stopped = fixture.gateway.stop();
  const first = askFor(100);
  await until(() => fixture.arrivals === 1);
  const second = await askFor(100);
  expect([endOf(await first), endOf(second)]).toEqual(['502', '503']);
  expect(fixture.arrivals).toEqual(1);
  await stopped;
});

/** Guards against judging a stream by the pace of others alone, which a slower server or model does not keep. */
test('should send nothing of a stream that is much slower than the recent ones', async () => {
  const script: Script = (request) => streamOf(50, request.path.endsWith('slow') ? 100 : 10)(request);
  await fixture.start([script], STREAM, { drainMilliseconds: 3_000 });
  await askFor(100);
  const stopped = fixture.gateway.stop();
  const ends = [await askFor(100), await askFor(100, '/a/slow')];
  expect(ends.map(endOf)).toEqual(['200', '502']);
  await stopped;
});

/** Guards against trusting that requests go on taking as long as the recent ones. */
test('should reject a request that nothing ends before the close, however short the recent ones were', async () => {
  await fixture.start([answers()]);
  for (let request = 0; request < 5; request++) await fixture.request();
  const stopped = fixture.gateway.stop();
  expect((await fixture.request()).status).toEqual(503);
  const headers = { 'larklatch-deadline-milliseconds': '1000' };
  expect((await fixture.request({ headers })).status).toEqual(200);
  await stopped;
});

/** Guards against closing connections while the end of an answer is still waiting for a slow caller. */
test('should send an answer whole to a caller that reads slowly', async () => {
  const body = 'x'.repeat(12_000_000);
  const script = answers({ headers: { 'content-length': String(body.length) }, body });
  await fixture.start([script], {}, { drainMilliseconds: 5_000 });
  const [host, port] = fixture.address.split(':');
  const headers = { host: 'host.example', authorization: 'Bearer key-one' };
  const request = http.get({ host, port, path: '/a/x', headers, agent: false });
  const [answer] = (await once(request, 'response')) as [http.IncomingMessage];
  const stopped = fixture.gateway.stop();
  while (await isListening(host, Number(port))) await pause(20);
  let received = 0;
  for await (const part of answer) {
    received += (part as Buffer).length;
    await pause(2);
  }
  expect(received).toEqual(body.length);
  await stopped;
});

async function isListening(host: string, port: number): Promise<boolean> {
  const socket = net.connect(port, host);
  return await once(socket, 'connect').then(
    () => Boolean(socket.destroy()),
    () => false,
  );
}

/** Guards against an answer without length that looks complete because its connection is closed in order. */
test('should let no answer look complete that it cuts off when it closes', async () => {
  const sendsOneEvent: Script = (request) => {
    request.socket.write(unframedStreamHead(request) + events(1));
  };
  await fixture.start([sendsOneEvent], STREAM, { drainMilliseconds: 600 });
  const asked = fixture.request();
  await until(() => fixture.arrivals === 1);
  await fixture.gateway.stop();
  expect(endOf(await asked)).toEqual('200 cut');
  expect(fixture.lines.some((line) => line.includes('"request.cut"') && line.includes('"leaving"'))).toEqual(
    true,
  );
});

/** Guards against a process that is killed while it resets what is left, because it stood still for a moment. */
test('should close its connections well before it may be killed', async () => {
  const sendsOneEvent: Script = (request) =>
    void request.socket.write(streamHead(request) + chunkOf(events(1)));
  const routes = [{ ...LONG_ROUTE, timeoutMilliseconds: 60_000 }];
  await fixture.start([sendsOneEvent], { routes }, { drainMilliseconds: 4_000 });
  const asked = fixture.request();
  await until(() => fixture.arrivals === 1);
  const stopped = fixture.gateway.stop();
  const leaving = fixture.lines.find((line) => line.includes('gateway.leaving')) ?? '{}';
  const { closesInMilliseconds } = JSON.parse(leaving) as { closesInMilliseconds: number };
  expect([closesInMilliseconds <= 3_750, endOf(await asked)]).toEqual([true, '200 cut']);
  await stopped;
});

/** Guards against resetting connections that wait to be accepted when the process stands still before it stops listening. */
test('should answer all requests that arrived while the process stood still', async () => {
  await fixture.start([answers()], {}, { drainMilliseconds: 2_000 });
  const [host, port] = fixture.address.split(':');
  const stopsAt = performance.now();
  const stopped = fixture.gateway.stop();
  await until(() => performance.now() - stopsAt > 1_200);
  const asked = Array.from({ length: 60 }, async () => {
    const socket = net.connect(Number(port), host);
    socket.write('GET /a/x HTTP/1.1\r\nHost: host.example\r\nAuthorization: Bearer key-one\r\n\r\n');
    const [bytes] = (await Promise.race([once(socket, 'data'), once(socket, 'close')])) as [unknown];
    socket.destroy();
    return String(bytes).split('\r\n')[0];
  });
  while (performance.now() - stopsAt < 1_550);
  const first = new Set(await Promise.all(asked));
  expect([...first]).toEqual(['HTTP/1.1 503 Service Unavailable']);
  await stopped;
});

/** Guards against closing the connection of a request that is still being read, without an answer. */
test('should reject a request that has not been read whole when it closes', async () => {
  await fixture.start([answers()], {}, { drainMilliseconds: 600 });
  const [host, port] = fixture.address.split(':');
  const socket = net.connect(Number(port), host);
  socket.write(
    'POST /a/x HTTP/1.1\r\nHost: host.example\r\nAuthorization: Bearer key-one\r\nContent-Length: 9\r\n\r\nhalf',
  );
  await once(socket, 'connect');
  const stopped = fixture.gateway.stop();
  const [bytes] = (await once(socket, 'data')) as [Buffer];
  expect(bytes.toString().split('\r\n')[0]).toEqual('HTTP/1.1 503 Service Unavailable');
  await stopped;
  socket.destroy();
});
