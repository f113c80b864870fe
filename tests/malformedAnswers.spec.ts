/** Bytes of servers in trouble that are no answer: no caller may get them, or a part of them, as one. */
import { afterEach, beforeEach, test } from 'node:test';
import { expect } from 'earl';
import type { ArrivedRequest } from '../standins/scriptedBackend.js';
import { GatewayFixture } from './fixtures/gatewayFixture.js';
import { routeFixture } from './fixtures/servingFixture.js';

const ONCE = { routes: [routeFixture({ kind: 'once' })] };

let fixture: GatewayFixture;

beforeEach(() => {
  fixture = new GatewayFixture();
});

afterEach(() => fixture.stop());

/** What a caller gets from a server that sends `bytes` and then closes the connection in order. */
async function statusOf(bytes: (id: string) => string): Promise<number> {
  const script = ({ socket, headers }: ArrivedRequest): void =>
    void socket.end(bytes(headers.get('larklatch-request-id') ?? ''));
  await fixture.start([script], ONCE);
  return (await fixture.request({ method: 'POST' })).status;
}

/** An answer that is sound but for its status line or an additional line of its head. */
function answer(id: string, { status = '200 OK', line = '' }): string {
  const own = `larklatch-request-id: ${id}\r\nlarklatch-seal: s\r\n${line}`;
  return `HTTP/1.1 ${status}\r\n${own}Content-Length: 4\r\n\r\nbody`;
}

for (const status of [
  '000 None',
  '042 Low',
  '99 Short',
  '999 High',
  '600 High',
  ' OK',
  '101 Switching Protocols',
])
  test(`should not pass on an answer with status line "${status}"`, async () => {
    expect(await statusOf((id) => answer(id, { status }))).toEqual(502);
  });

for (const [what, name] of [
  ['a blank', 'x-a b'],
  ['a blank before the colon', 'x-a '],
  ['a tab', 'x-a\tb'],
  ['a NUL', 'x-a\0b'],
  ['a control byte', 'x-a\x01b'],
  ['a carriage return', 'x-a\rb'],
] as const)
  test(`should not pass on an answer with ${what} in the name of a field`, async () => {
    expect(await statusOf((id) => answer(id, { line: `${name}: c\r\n` }))).toEqual(502);
  });

test('should not pass on an answer with a blank in the name of its length', async () => {
  expect(await statusOf((id) => answer(id, { line: 'Content Length: 2\r\n' }))).toEqual(502);
});

/** Guards against a body in a coding that its caller is not told of. */
test('should not pass on an answer with another transfer coding than chunks', async () => {
  const own = (id: string): string => `larklatch-request-id: ${id}\r\nlarklatch-seal: s`;
  const bytes = (id: string): string => `HTTP/1.1 200 OK\r\n${own(id)}\r\nTransfer-Encoding: odd\r\n\r\nbody`;
  expect(await statusOf(bytes)).toEqual(502);
});

for (const [where, length] of [
  ['in its status line', 14],
  ['in the name of a field', 25],
  ['in the value of a field', 47],
  ['after a whole line', 50],
  ['before its blank line', -6],
] as const)
  test(`should not pass on an answer whose head stops ${where}`, async () => {
    expect(await statusOf((id) => answer(id, {}).slice(0, length))).toEqual(502);
  });
