/** Whom the directory of entries names, and by whose word. */
import { afterEach, beforeEach, test } from 'node:test';
import { expect } from 'earl';
import type { EntryAddress } from '../src/protocol/boxMessages.js';
import { EntryDirectory } from '../src/serving/entryDirectory.js';
import { ManualClock } from '../src/utils/clock.js';
import { DirectoryFixture } from './fixtures/directoryFixture.js';
import { quietLog } from './fixtures/quietLog.js';
import { until } from './fixtures/until.js';

let fixture: DirectoryFixture;

beforeEach(() => {
  fixture = new DirectoryFixture();
});

afterEach(() => fixture.stop());

function entry(box: string, dataCentre = 'north'): EntryAddress {
  return { box, dataCentre, address: `${box}:80`, control: `${box}:81`, leaving: false };
}

function all(...boxes: string[]): { whole: boolean; entries: EntryAddress[]; gone: string[] } {
  return { whole: true, entries: boxes.map((box) => entry(box)), gone: [] };
}

function change(
  boxes: string[],
  gone: string[],
): { whole: boolean; entries: EntryAddress[]; gone: string[] } {
  return { whole: false, entries: boxes.map((box) => entry(box)), gone };
}

/** The directory of entry `a`, which asks these agents. */
function asking(...agents: string[]): { directory: EntryDirectory; clock: ManualClock } {
  const clock = new ManualClock();
  const directory = new EntryDirectory(entry('a'), clock, quietLog());
  for (const agent of agents) directory.ask(agent);
  return { directory, clock };
}

/**
 * Symptom: answers of the directory name an entry that has lost power, for as long as it is off.
 * Sequence: boxes are added, so that another agent takes the place of one of the four that are asked for entries; that one stays
 * connected, since requests go to its backend server. Then an entry loses power.
 * Cause: the agent that is no longer asked tells nothing more, and its last list was kept and counted as if it were current.
 * Figures: 4.1 s after the loss all entries still counted nine live ones, though agents take an entry for gone after 2 s of silence;
 * nine answers named it more than 6 s after the loss.
 */
test('should not name an entry that is off by the word of an agent that is no longer asked', async () => {
  const [own, lost] = [fixture.addEntry('a'), fixture.addEntry('b')];
  const before = await fixture.addAgents(9);
  for (const each of [own, lost]) each.select(before);
  await until(() => own.names('b'));
  const asked = own.selection.directory;
  const after = await fixture.addAgents(6);
  for (const each of [own, lost]) each.select(after);
  expect([...asked].some((box) => !own.selection.directory.has(box))).toEqual(true);
  await until(() => own.noted.steps().includes('agent.not-asked'));
  lost.close();
  await until(() => !own.names('b'));
});

/** The same sequence as the directory alone sees it: the word of the agent that is no longer asked outlives all others. */
test('should forget what an agent told when it is no longer asked', () => {
  const { directory } = asking('one', 'two');
  directory.report('one', all('a', 'b'));
  directory.report('two', all('a', 'b'));
  directory.endAsking('one', 0);
  directory.report('two', change([], ['b']));
  expect(directory.addressesFor('north')).toEqual(['a:80']);
});
