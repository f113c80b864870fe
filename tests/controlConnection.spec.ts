/** Control connections: authentication, invalid frames, calls, silent peers. */
import { randomBytes } from 'node:crypto';
import net from 'node:net';
import { deflateRawSync } from 'node:zlib';
import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import type { ControlOptions } from '../src/protocol/controlConnection.js';
import { ControlConnection } from '../src/protocol/controlConnection.js';
import { ControlServer } from '../src/protocol/controlServer.js';
import {
  FrameReader,
  HEARTBEAT_FRAME,
  MAXIMUM_FRAME_BYTES,
  encodeFrame,
} from '../src/protocol/frameCodec.js';
import { messageSchema } from '../src/protocol/message.js';
import { silenceTimeout } from '../src/protocol/livenessTimeouts.js';
import { until } from './fixtures/until.js';

function options(box: string, key = 'the-shared-key'): ControlOptions {
  return { key, identity: { role: 'entry', box, dataCentre: 'zagreb' }, peerTimeoutMilliseconds: 300 };
}

interface Pair {
  server: ControlServer;
  port: number;
  accepted: Promise<ControlConnection>;
  refused: Promise<string>;
}

async function listen(key?: string): Promise<Pair> {
  let onAccepted!: (connection: ControlConnection) => void;
  let onRefused!: (reason: string) => void;
  const accepted = new Promise<ControlConnection>((resolve) => (onAccepted = resolve));
  const refused = new Promise<string>((resolve) => (onRefused = resolve));
  const server = new ControlServer(options('server', key), onAccepted, onRefused);
  const port = await server.listen('127.0.0.1', 0);
  return { server, port, accepted, refused };
}

test('should connect peers that share a key and tell each who the other is', async () => {
  const { server, port, accepted } = await listen();
  const client = await ControlConnection.connect('127.0.0.1', port, options('client'));
  expect(client.peer.box).toEqual('server');
  expect((await accepted).peer.box).toEqual('client');
  client.close('done');
  server.close();
});

test('should refuse a peer with another key', async () => {
  const { server, port, refused } = await listen();
  await expect(ControlConnection.connect('127.0.0.1', port, options('client', 'a-wrong-key'))).toBeRejected();
  expect((await refused).includes('wrong shared key')).toEqual(true);
  server.close();
});

test('should keep messages that arrive before there is a listener', async () => {
  const { server, port, accepted } = await listen();
  const client = await ControlConnection.connect('127.0.0.1', port, options('client'));
  client.send({ type: 'entry-state', leaving: true });
  const connection = await accepted;
  const message = new Promise((resolve) => connection.once('message', resolve));
  connection.start();
  expect(await message).toEqual({ type: 'entry-state', leaving: true });
  client.close('done');
  server.close();
});

test('should match each reply to its call', async () => {
  const { server, port, accepted } = await listen();
  const client = await ControlConnection.connect('127.0.0.1', port, options('client'));
  client.start();
  const connection = await accepted;
  const calls: number[] = [];
  connection.on('message', (message) => {
    if (message.type !== 'revision-query') return;
    calls.push(message.call);
    if (calls.length < 2) return;
    for (const call of [...calls].reverse()) connection.reply(call, { accepted: true, revision: call });
  });
  connection.start();
  const replies = await Promise.all(
    ['a/b', 'c/d'].map((key) => client.call({ type: 'revision-query', key })),
  );
  expect(replies.map((reply) => reply.revision)).toEqual([1, 2]);
  client.close('done');
  server.close();
});

test('should reject a call when the connection is lost', async () => {
  const { server, port, accepted } = await listen();
  const client = await ControlConnection.connect('127.0.0.1', port, options('client'));
  const call = client.call({ type: 'revision-query', key: 'a/b' });
  (await accepted).close('gone');
  await expect(call).toBeRejected();
  server.close();
});

test('should close the connection of a silent peer', async () => {
  const { server, port, accepted } = await listen();
  const socket = net.connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.resume();
  const closed = new Promise((resolve) => socket.once('close', resolve));
  await closed;
  server.close();
  void accepted;
});

/** Guards against a process that ends when it loses the connection after a call that was never sent. */
test('should reject a call that is too large, and leave nothing of any call behind', async () => {
  const { server, port, accepted } = await listen();
  const client = await ControlConnection.connect('127.0.0.1', port, options('client'));
  client.start();
  const unhandled: unknown[] = [];
  const note = (error: unknown): void => void unhandled.push(error);
  process.on('unhandledRejection', note);
  const listeners = client.listenerCount('close');
  const call = client.call({ type: 'revision-query', key: 'k'.repeat(MAXIMUM_FRAME_BYTES) });
  await expect(call).toBeRejected();
  expect(client.listenerCount('close')).toEqual(listeners);
  const closed = new Promise((resolve) => client.once('close', resolve));
  (await accepted).close('gone');
  await closed;
  await new Promise((resolve) => setImmediate(resolve));
  process.off('unhandledRejection', note);
  expect(unhandled).toEqual([]);
  server.close();
});

/** Guards against clients without the key that fill the memory with frames that they never complete. */
test('should refuse a large frame of a peer that has not proved that it has the key', async () => {
  const { server, port, refused } = await listen();
  const socket = net.connect(port, '127.0.0.1').on('error', () => undefined);
  const length = Buffer.alloc(4);
  length.writeUInt32BE(MAXIMUM_FRAME_BYTES);
  socket.write(length);
  expect((await refused).includes('over the limit')).toEqual(true);
  server.close();
});

test('should accept a large frame of a peer that has the key', async () => {
  const { server, port, accepted } = await listen();
  const client = await ControlConnection.connect('127.0.0.1', port, options('client'));
  client.start();
  const call = client.call({ type: 'revision-query', key: randomBytes(1024 * 1024).toString('hex') });
  const connection = await accepted;
  connection.on('message', (message) => {
    if (message.type === 'revision-query')
      connection.reply(message.call, { accepted: true, revision: message.key.length });
  });
  connection.start();
  expect((await call).revision).toEqual(2 * 1024 * 1024);
  client.close('done');
  server.close();
});

test('should close the oldest connection when too many are in their handshake', async () => {
  const patient = { ...options('server'), peerTimeoutMilliseconds: 60_000 };
  const ignore = (): void => undefined;
  const server = new ControlServer(patient, ignore, ignore, 2);
  const port = await server.listen('127.0.0.1', 0);
  const closed: number[] = [];
  const sockets = [0, 1, 2].map((number) => {
    const socket = net.connect(port, '127.0.0.1').on('error', () => undefined);
    return socket.resume().once('close', () => closed.push(number));
  });
  await until(() => closed.length > 0);
  expect(closed.length).toEqual(1);
  const client = await ControlConnection.connect('127.0.0.1', port, options('client'));
  client.close('done');
  for (const socket of sockets) socket.destroy();
  server.close();
});

test('should allow more silence between agents than to an entry, and the same at both ends', () => {
  expect(silenceTimeout('agent', 'agent', 300)).toEqual(600);
  expect(silenceTimeout('agent', 'entry', 300)).toEqual(300);
  expect(silenceTimeout('entry', 'agent', 300)).toEqual(300);
});

test('should ignore a message of an unknown type', async () => {
  const { server, port, accepted } = await listen();
  const client = await ControlConnection.connect('127.0.0.1', port, options('client'));
  const connection = await accepted;
  const message = new Promise((resolve) => connection.once('message', resolve));
  connection.start();
  client.send({ type: 'from-a-later-version' } as never);
  client.send({ type: 'entry-state', leaving: false });
  expect(await message).toEqual({ type: 'entry-state', leaving: false });
  client.close('done');
  server.close();
});

test('should close a connection that sends a malformed message', async () => {
  const { server, port, accepted } = await listen();
  const client = await ControlConnection.connect('127.0.0.1', port, options('client'));
  const connection = await accepted;
  const closed = new Promise((resolve) => connection.once('close', resolve));
  connection.start();
  client.send({ type: 'entry-state', leaving: 'perhaps' } as never);
  expect(String(await closed).includes('bad message')).toEqual(true);
  server.close();
});

test('should read frames however the bytes are split', () => {
  const messages = [{ a: 1 }, { type: 'entry-state', leaving: true }, { b: 'two' }];
  const bytes = Buffer.concat(messages.flatMap((message) => [HEARTBEAT_FRAME, encodeFrame(message)]));
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 }), (sizes) => {
      const reader = new FrameReader();
      const read: unknown[] = [];
      for (let start = 0, turn = 0; start < bytes.length; turn++) {
        const size = sizes[turn % sizes.length];
        read.push(...reader.push(bytes.subarray(start, start + size)));
        start += size;
      }
      expect(read).toEqual(messages);
    }),
    { seed: 2 },
  );
});

/** Guards against a message that changes when the socket's buffer receives the next bytes. */
test('should copy bytes of a buffer that is reused', () => {
  const message = { text: 'a'.repeat(40), bytes: Buffer.from([1, 2, 3]) };
  const frame = encodeFrame(message);
  const reader = new FrameReader();
  const reused = Buffer.alloc(frame.length);
  const read: unknown[] = [];
  for (const part of [frame.subarray(0, 9), frame.subarray(9)]) {
    part.copy(reused);
    read.push(...reader.push(reused.subarray(0, part.length), true));
    reused.fill(0);
  }
  expect(read).toEqual([message]);
});

test('should refuse a frame over the limit as soon as its length is known', () => {
  const header = Buffer.alloc(4);
  header.writeUInt32BE(MAXIMUM_FRAME_BYTES + 1);
  expect(() => new FrameReader().push(header)).toThrow();
});

test('should compress a large configuration, and decode it', () => {
  const routes = Array.from({ length: 2_000 }, (_unused, index) => ({
    name: `route-${index}`,
    host: 'games.example',
    path_prefix: `/titles/${index}/turns/`,
    timeout_ms: 4_000,
  }));
  const frame = encodeFrame({ type: 'any', routes });
  expect(frame.length).toBeLessThan(JSON.stringify(routes).length / 5);
  const reader = new FrameReader();
  const middle = Math.floor(frame.length / 2);
  expect(reader.push(frame.subarray(0, middle))).toEqual([]);
  expect(reader.push(frame.subarray(middle))).toEqual([{ type: 'any', routes }]);
});

test('should refuse a small frame that decompresses to more than the limit', () => {
  const packed = deflateRawSync(Buffer.alloc(MAXIMUM_FRAME_BYTES + 1));
  const head = Buffer.alloc(4);
  head.writeUInt32BE(0x8000_0000 + packed.length, 0);
  expect(() => new FrameReader().push(Buffer.concat([head, packed]))).toThrow('not a CBOR item');
});

test('should survive any bytes and any message', () => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), fc.anything(), (bytes, message) => {
      try {
        new FrameReader().push(Buffer.from(bytes));
      } catch (error) {
        expect((error as Error).name).toEqual('StepError');
      }
      messageSchema.safeParse(message);
    }),
    { seed: 9, numRuns: 500 },
  );
});

test('should answer probes itself and not emit them as messages', async () => {
  const { server, port, accepted } = await listen();
  const client = await ControlConnection.connect('127.0.0.1', port, options('client'));
  const connection = await accepted;
  const heard: string[] = [];
  connection.on('message', ({ type }) => heard.push(type));
  client.on('message', ({ type }) => heard.push(type));
  connection.start();
  client.start();
  expect(client.delayMilliseconds).toEqual(0);
  client.probe();
  await until(() => client.delayMilliseconds > 0);
  expect(heard).toEqual([]);
  client.close('done');
  server.close();
});
