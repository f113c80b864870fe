/** Requests to the directory and readiness endpoints, by anyone who reaches their port. */
import http from 'node:http';
import { afterEach, beforeEach, test } from 'node:test';
import { expect } from 'earl';
import { GatewayFixture } from './fixtures/gatewayFixture.js';
import { answers } from '../standins/scriptedBackend.js';

let fixture: GatewayFixture;

beforeEach(async () => {
  fixture = new GatewayFixture();
  await fixture.start([answers()]);
});

afterEach(() => fixture.stop());

async function statusOf(target: string): Promise<number> {
  const [host, port] = fixture.directory.split(':');
  return await new Promise((resolve, reject) => {
    const request = http.get({ host, port, path: target, agent: false }, (answer) => {
      answer.resume().once('end', () => resolve(answer.statusCode ?? 0));
    });
    request.once('error', reject);
  });
}

/** Guards against a request that ends the process, since its target cannot be parsed. */
for (const [target, status] of [
  ['//', 404],
  ['//x:y', 404],
  ['http://', 400],
  ['http://[', 400],
  ['*', 400],
  ['/ready?%', 200],
] as const)
  test(`should answer a request for ${target}`, async () => {
    expect(await statusOf(target)).toEqual(status);
    expect(await statusOf('/ready')).toEqual(200);
  });
