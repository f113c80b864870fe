/** Tests on which versions requests may begin, and until when. */
import { test } from 'node:test';
import { expect } from 'earl';
import { VersionGate } from '../src/serving/versionGate.js';
import { ManualClock } from '../src/utils/clock.js';

test('should stop sending to an older version sooner where requests take long to begin', () => {
  const clock = new ManualClock();
  const gate = new VersionGate({ switchMilliseconds: 8_000, contactMilliseconds: 3_000 }, clock);
  gate.noteTarget('m', 2, 0);
  clock.advance(6_600);
  expect([gate.minVersionToSend('m'), gate.minVersionToSend('m', true)]).toEqual([0, 2]);
});

test('should not send to an older version shortly before the deadline', () => {
  const clock = new ManualClock();
  const gate = new VersionGate({ switchMilliseconds: 8_000, contactMilliseconds: 3_000 }, clock);
  expect(gate.noteTarget('m', 2, 0)).toEqual(true);
  expect(gate.noteTarget('m', 2, 0)).toEqual(false);
  clock.advance(6_900);
  expect(gate.minVersionToSend('m')).toEqual(0);
  clock.advance(200);
  expect(gate.minVersionToSend('m')).toEqual(2);
});

test('should cancel requests that have not begun on an older version just before the deadline', () => {
  const clock = new ManualClock();
  const gate = new VersionGate({ switchMilliseconds: 8_000, contactMilliseconds: 3_000 }, clock);
  gate.noteTarget('m', 2, 0);
  clock.advance(7_450);
  expect(gate.minVersionToBegin('m')).toEqual(0);
  clock.advance(100);
  expect(gate.minVersionToBegin('m')).toEqual(2);
});

test('should count the deadline from the earliest time at which the version may have been announced', () => {
  const clock = new ManualClock();
  clock.advance(20_000);
  const gate = new VersionGate({ switchMilliseconds: 8_000, contactMilliseconds: 3_000 }, clock);
  gate.noteTarget('m', 2, 1_500);
  expect(gate.wanted('m').knownMilliseconds).toEqual(1_500);
  clock.advance(5_499);
  expect(gate.minVersionToSend('m')).toEqual(0);
  clock.advance(1);
  expect(gate.minVersionToSend('m')).toEqual(2);
});

test('should not send to an older version when no version was known since a start long ago', () => {
  const clock = new ManualClock();
  const gate = new VersionGate({ switchMilliseconds: 8_000, contactMilliseconds: 3_000 }, clock);
  clock.advance(20_000);
  gate.noteTarget('m', 2, Number.POSITIVE_INFINITY);
  expect(gate.minVersionToSend('m')).toEqual(2);
});

test('should use older versions for a while after an outage in which a version may have been announced', () => {
  for (const lateMilliseconds of [7_900, 20_000]) {
    const clock = new ManualClock();
    const gate = new VersionGate({ switchMilliseconds: 8_000, contactMilliseconds: 3_000 }, clock);
    clock.advance(20_000);
    gate.noteTarget('m', 2, lateMilliseconds);
    clock.advance(1_999);
    expect(gate.minVersionToSend('m')).toEqual(0);
    clock.advance(1);
    expect(gate.minVersionToSend('m')).toEqual(2);
  }
});

test('should not cancel recent requests when a version becomes known during the start', () => {
  const clock = new ManualClock();
  const gate = new VersionGate({ switchMilliseconds: 8_000, contactMilliseconds: 3_000 }, clock);
  clock.advance(400);
  gate.noteTarget('m', 2, Number.POSITIVE_INFINITY);
  clock.advance(400);
  gate.noteTarget('m', 3, Number.POSITIVE_INFINITY);
  expect(gate.minVersionToBegin('m')).toEqual(0);
  clock.advance(2_100);
  expect(gate.minVersionToBegin('m')).toEqual(3);
});

test('should count the deadline of each version separately', () => {
  const clock = new ManualClock();
  const gate = new VersionGate({ switchMilliseconds: 8_000, contactMilliseconds: 3_000 }, clock);
  gate.noteTarget('m', 2, 0);
  clock.advance(4_000);
  gate.noteTarget('m', 3, 0);
  clock.advance(3_500);
  expect(gate.minVersionToSend('m')).toEqual(2);
  clock.advance(4_000);
  expect(gate.minVersionToSend('m')).toEqual(3);
});

test('should count the age of a version found at the start from the start', () => {
  const clock = new ManualClock();
  const gate = new VersionGate({ switchMilliseconds: 8_000, contactMilliseconds: 3_000 }, clock);
  gate.noteTarget('m', 2, Number.POSITIVE_INFINITY);
  clock.advance(2_400);
  expect(gate.minVersionToSend('m')).toEqual(2);
});

test('should have the first version as the target before any version is announced', () => {
  const gate = new VersionGate({ switchMilliseconds: 8_000, contactMilliseconds: 3_000 }, new ManualClock());
  expect(gate.wanted('m').version).toEqual(1);
});

/**
 * Guards against a deadline that is counted from the wrong version. Version 3 was announced two seconds after
 * version 2. An entry that had missed version 2 learned of version 3 first, because a record holds only the newest
 * version, and the gate ignored versions older than the newest known one. So it counted the deadline of version 1
 * from version 3, two seconds too late, and a request began on version 1 8.3 s after version 2 had been
 * acknowledged; the deadline is 8 s.
 */
test('should keep the deadline of a version that becomes known after a newer one', () => {
  const clock = new ManualClock();
  clock.advance(20_000);
  const gate = new VersionGate({ switchMilliseconds: 8_000, contactMilliseconds: 3_000 }, clock);
  gate.noteTarget('m', 3, 0);
  gate.noteTarget('m', 2, 2_000);
  expect(gate.newest('m')).toEqual(3);
  clock.advance(5_001);
  expect([gate.minVersionToSend('m'), gate.minVersionToBegin('m')]).toEqual([2, 0]);
  clock.advance(500);
  expect(gate.minVersionToBegin('m')).toEqual(2);
  clock.advance(1_500);
  expect(gate.minVersionToSend('m')).toEqual(3);
});

test('should count the deadline from when any entry heard of a version', () => {
  const clock = new ManualClock();
  clock.advance(20_000);
  const gate = new VersionGate({ switchMilliseconds: 8_000, contactMilliseconds: 3_000 }, clock);
  gate.noteTarget('m', 2, 0);
  expect(gate.noteHeard({ model: 'm', version: 2, heardMilliseconds: 1_000 })).toEqual(false);
  clock.advance(6_001);
  expect(gate.minVersionToSend('m')).toEqual(2);
});

test('should learn a version from another entry alone', () => {
  const clock = new ManualClock();
  const gate = new VersionGate({ switchMilliseconds: 8_000, contactMilliseconds: 3_000 }, clock);
  expect(gate.noteHeard({ model: 'm', version: 2, heardMilliseconds: 200 })).toEqual(true);
  expect(gate.newest('m')).toEqual(2);
  clock.advance(100);
  expect(gate.heard('m')).toEqual([{ model: 'm', version: 2, heardMilliseconds: 300 }]);
});

test('should report when it heard of a version, not from when it counts the deadline', () => {
  const clock = new ManualClock();
  clock.advance(20_000);
  const gate = new VersionGate({ switchMilliseconds: 8_000, contactMilliseconds: 3_000 }, clock);
  gate.noteTarget('m', 2, 1_500);
  expect(gate.heard('m')[0]?.heardMilliseconds).toEqual(0);
});

test('should be exempt after its start from the deadline of a version that others heard of long ago', () => {
  const clock = new ManualClock();
  const gate = new VersionGate({ switchMilliseconds: 8_000, contactMilliseconds: 3_000 }, clock);
  gate.noteHeard({ model: 'm', version: 2, heardMilliseconds: 7_900 });
  expect(gate.minVersionToBegin('m')).toEqual(0);
  clock.advance(2_501);
  expect(gate.minVersionToBegin('m')).toEqual(2);
});

test('should cancel requests sooner where the reset may be delayed', () => {
  const clock = new ManualClock();
  const gate = new VersionGate({ switchMilliseconds: 8_000, contactMilliseconds: 3_000 }, clock);
  gate.noteTarget('m', 2, 0);
  clock.advance(6_100);
  expect([gate.minVersionToBegin('m'), gate.minVersionToBegin('m', true)]).toEqual([0, 2]);
});

test('should not move a deadline when a known version is listed again', () => {
  const clock = new ManualClock();
  clock.advance(20_000);
  const gate = new VersionGate({ switchMilliseconds: 8_000, contactMilliseconds: 3_000 }, clock);
  gate.noteTarget('m', 2, 0);
  clock.advance(1_000);
  expect(gate.noteTarget('m', 2, 6_000)).toEqual(false);
  expect(gate.wanted('m').knownMilliseconds).toEqual(1_000);
});

test('should be exempt for a while from the deadline of a version that it hears of long after the others', () => {
  const clock = new ManualClock();
  clock.advance(60_000);
  const gate = new VersionGate({ switchMilliseconds: 8_000, contactMilliseconds: 3_000 }, clock);
  gate.noteHeard({ model: 'm', version: 2, heardMilliseconds: 7_900 });
  expect(gate.minVersionToBegin('m')).toEqual(0);
  clock.advance(2_501);
  expect(gate.minVersionToBegin('m')).toEqual(2);
});

test('should count from the earliest time given by its records, even if an agent reports the version first', () => {
  const clock = new ManualClock();
  clock.advance(20_000);
  const gate = new VersionGate({ switchMilliseconds: 8_000, contactMilliseconds: 3_000 }, clock);
  gate.noteHeard({ model: 'm', version: 2, heardMilliseconds: 20 });
  gate.noteTarget('m', 2, 1_500);
  expect(gate.wanted('m').knownMilliseconds).toEqual(1_500);
});
