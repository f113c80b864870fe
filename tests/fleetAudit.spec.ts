/** Sends non-repeatable requests under seeded faults, and compares their outcomes with the run logs of the services. */
import { randomUUID } from 'node:crypto';
import { test } from 'node:test';
import { expect } from 'earl';
import type { Random } from '../src/utils/random.js';
import { SeededRandom } from '../src/utils/random.js';
import { notice, newKeys, publishService, runsOf, useFleet } from './fixtures/fleetFixture.js';

const context = useFleet({ modelBoxesPerDataCentre: 0, plainBoxesPerDataCentre: 2 });

const REQUESTS = 2_000;
const CALLERS = 20;
const MAXIMUM_ATTEMPTS = 4;
const FAULT_MILLISECONDS = 150;

/** The outcomes reported for all attempts with one key. */
interface KeyOutcomes {
  key: string;
  outcomes: string[];
}

async function sendRepeatedly(key: string, random: Random): Promise<KeyOutcomes> {
  const { fleet } = context;
  const outcomes: string[] = [];
  for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
    const entry = random.integer(fleet.entries().length);
    const answer = await notice(fleet, key, entry).catch(() => undefined);
    outcomes.push(answer?.headers.get('larklatch-outcome') ?? 'no answer');
    await answer?.text().catch(() => undefined);
    // Some callers send the key again after an answer, as if the answer had been lost.
    if (answer?.status === 200 && random.integer(3) > 0) break;
  }
  return { key, outcomes };
}

async function runCaller(seed: number): Promise<KeyOutcomes[]> {
  const random = new SeededRandom(seed);
  const outcomesByKey: KeyOutcomes[] = [];
  for (let request = 0; request < REQUESTS / CALLERS; request++) {
    const [ticket] = random.integer(2) === 0 ? await newKeys(context.fleet, 1).catch(() => []) : [];
    outcomesByKey.push(await sendRepeatedly(ticket ?? randomUUID(), random));
  }
  return outcomesByKey;
}

/** Injects refusals, lost answers, agent restarts, and freezes of entries and agents until `signal` is aborted. */
async function injectFaults(signal: AbortSignal): Promise<void> {
  const { fleet } = context;
  const random = new SeededRandom(99);
  const pick = <T>(items: readonly T[]): T => items[random.integer(items.length)];
  while (!signal.aborted) {
    const box = pick(fleet.plainBoxes());
    const kind = random.integer(6);
    if (kind < 3)
      await fleet.setFaults(fleet.box(box).backendUrl, {
        requests: pick(['ok', 'refuse', 'lose-answer'] as const),
      });
    else if (kind === 3) await fleet.restart(box);
    else await freeze(kind === 4 ? fleet.box(box).child : pick(fleet.entries()).child);
    await new Promise((resolve) => setTimeout(resolve, FAULT_MILLISECONDS));
  }
}

async function freeze(child: { signal(name: NodeJS.Signals): void }): Promise<void> {
  child.signal('SIGSTOP');
  await new Promise((resolve) => setTimeout(resolve, 2 * FAULT_MILLISECONDS));
  child.signal('SIGCONT');
}

test('should run each key at most once, and report not-run only for keys that did not run', async () => {
  const { fleet } = context;
  await publishService(fleet);
  const stop = new AbortController();
  const faults = injectFaults(stop.signal);
  const outcomesByKey = (
    await Promise.all(Array.from({ length: CALLERS }, (_none, seed) => runCaller(seed)))
  ).flat();
  stop.abort();
  await faults;
  const runs = new Map<string, number>();
  for (const { idempotencyKey } of await runsOf(fleet))
    runs.set(idempotencyKey, (runs.get(idempotencyKey) ?? 0) + 1);
  const runTwice = outcomesByKey.filter(({ key }) => (runs.get(key) ?? 0) > 1);
  const falselyNotRun = outcomesByKey.filter(
    ({ key, outcomes }) => outcomes.at(-1) === 'not-run' && runs.has(key),
  );
  expect(runTwice).toEqual([]);
  expect(falselyNotRun).toEqual([]);
  expect(outcomesByKey.length).toEqual(REQUESTS);
});
