/** `larklatch explain`: the log lines of one request, from the log of a gateway. */
import { Readable } from 'node:stream';
import { afterEach, beforeEach, test } from 'node:test';
import { expect } from 'earl';
import { readRequestLog, formatRequestLog } from '../src/cli/explainCommand.js';
import { answers } from '../standins/scriptedBackend.js';
import { GatewayFixture } from './fixtures/gatewayFixture.js';
import { routeFixture } from './fixtures/servingFixture.js';

let fixture: GatewayFixture;

beforeEach(() => {
  fixture = new GatewayFixture();
});

afterEach(() => fixture.stop());

async function stepsOf(request: string): Promise<string[]> {
  const log = fixture.lines.map((line) => `12.5 gateway-1 ${line}`).join('');
  const lines = await readRequestLog(Readable.from([log]), request);
  expect(formatRequestLog(lines).length).toEqual(lines.length);
  return lines.map((line) => line.step);
}

test('should show why a request was refused', async () => {
  const full = answers({ status: 503, headers: { 'larklatch-not-run': '1' }, seal: null });
  await fixture.start([full], { routes: [routeFixture({ kind: 'once', attempts: 1 })] });
  await fixture.request({ method: 'POST' });
  expect(await stepsOf('request-1')).toEqual(['request.sent', 'request.rejected', 'request.refused']);
});

test('should show why a request failed after it was sent', async () => {
  await fixture.start([({ socket }) => void socket.resetAndDestroy()], {
    routes: [routeFixture({ kind: 'once', attempts: 1 })],
  });
  await fixture.request({ method: 'POST' });
  expect(await stepsOf('request-1')).toEqual(['request.sent', 'request.attempt-failed', 'request.failed']);
});

test('should show why a request was denied', async () => {
  await fixture.start([answers()]);
  await fixture.request({ headers: { authorization: 'Bearer other' } });
  expect(await stepsOf('request-1')).toEqual(['request.denied']);
});

test('should not show lines of other requests', async () => {
  await fixture.start([answers()]);
  await fixture.request();
  expect(await stepsOf('request-2')).toEqual([]);
});

test('should explain why a request got no slot', () => {
  const fields = { noAttempt: 'reserved', timeliness: 'late', rank: 2, pressure: 0.931 };
  const [text] = formatRequestLog([{ time: 0, step: 'request.refused', box: 'b', fields }]);
  expect(text).toInclude(
    'reserved for requests before it; the request (rank 2) could no longer meet its objective',
  );
  expect(text).toInclude('mean fill 93%');
});
