/** Chunks are read from the weight store, or from the origin if the store refuses the read. */
import { test } from 'node:test';
import { expect } from 'earl';
import type { Origin } from '../src/external/origin.js';
import { StepError } from '../src/utils/stepError.js';
import { LayeredOrigin } from '../src/weights/layeredOrigin.js';

const RANGE = { customer: 'a', model: 'm', version: 'v', offset: 0, length: 1 };

function origin(name: string, fails: boolean): Origin & { reads: number } {
  const self = {
    reads: 0,
    manifest: async () => ({ model: name, version: 'v', chunks: [] }),
    read: async () => {
      self.reads++;
      if (fails) throw new StepError('fake.read', 'rate limit');
      return (async function* () {
        yield Buffer.from(name);
      })();
    },
  };
  return self;
}

async function readFrom(layered: LayeredOrigin): Promise<string> {
  const pieces: Buffer[] = [];
  for await (const piece of await layered.read(RANGE, new AbortController().signal)) pieces.push(piece);
  return Buffer.concat(pieces).toString();
}

test('should read from the weight store without asking the origin', async () => {
  const [store, source] = [origin('store', false), origin('origin', false)];
  expect(await readFrom(new LayeredOrigin(store, source))).toEqual('store');
  expect(source.reads).toEqual(0);
});

test('should read from the origin when the weight store refuses', async () => {
  expect(await readFrom(new LayeredOrigin(origin('store', true), origin('origin', false)))).toEqual('origin');
});

test('should always read the manifest from the origin', async () => {
  const layered = new LayeredOrigin(origin('store', false), origin('origin', false));
  expect((await layered.manifest('a', 'm', 'v')).model).toEqual('origin');
});
