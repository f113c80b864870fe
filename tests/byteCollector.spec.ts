/** Bytes that arrive in parts of any size. */
import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { ByteCollector } from '../src/utils/byteCollector.js';

test('should return what was added', () => {
  const parts = fc.array(fc.uint8Array({ maxLength: 5_000 }), { maxLength: 40 });
  fc.assert(
    fc.property(parts, (each) => {
      const collector = new ByteCollector();
      for (const part of each) collector.add(Buffer.from(part));
      expect(collector.take().equals(Buffer.concat(each))).toEqual(true);
      expect(collector.take().length).toEqual(0);
    }),
    { seed: 1 },
  );
});

/** Guards against parts of one byte each, which would keep an object, or a whole buffer of the socket, alive. */
test('should take little memory for parts of one byte', () => {
  const collector = new ByteCollector();
  const received = Buffer.alloc(100_000);
  let growth = 0;
  for (let index = 0; index < received.length; index++) {
    const part = received.subarray(index, index + 1);
    growth += collector.growthFor(part);
    collector.add(part);
  }
  expect(growth <= 2 * received.length).toEqual(true);
});
