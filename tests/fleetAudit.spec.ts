/** Thousands of requests that must not run twice, under seeded faults, audited against the services' own logs. */
import { randomUUID } from 'node:crypto';
import { test } from 'node:test';
import { expect } from 'earl';
import type { Random } from '../src/utils/random.js';
import { SeededRandom } from '../src/utils/random.js';
import { notice, newKeys, publishService, runsOf, useFleet } from './fixtures/fleetFixture.js';

const context = useFleet({ modelBoxesPerDataCentre: 0, plainBoxesPerDataCentre: 2 });

const REQUESTS = 2_000;
const CALLERS = 20;
const SENDINGS = 4;
const FAULT_MILLISECONDS = 150;

/** What the system told of one key, over all its sendings. */
interface Told {
  key: string;
  outcomes: string[];
}

async function sendRepeatedly(key: string, random: Random): Promise<Told> {
  const { fleet } = context;
  const outcomes: string[] = [];
  for (let sending = 0; sending < SENDINGS; sending++) {
    const entry = random.integer(fleet.entries().length);
    const answer = await notice(fleet, key, entry).catch(() => undefined);
    outcomes.push(answer?.headers.get('larklatch-outcome') ?? 'no answer');
    await answer?.text().catch(() => undefined);
    // a caller that was answered sends its key again now and then, as after a lost answer
    if (answer?.status === 200 && random.integer(3) > 0) break;
  }
  return { key, outcomes };
}

async function caller(seed: number): Promise<Told[]> {
  const random = new SeededRandom(seed);
  const told: Told[] = [];
  for (let request = 0; request < REQUESTS / CALLERS; request++) {
    const [ticket] = random.integer(2) === 0 ? await newKeys(context.fleet, 1).catch(() => []) : [];
    told.push(await sendRepeatedly(ticket ?? randomUUID(), random));
  }
  return told;
}

/** Refusals, lost answers, restarts of agents and freezes of entries and agents, until `signal` is aborted. */
async function breakThings(signal: AbortSignal): Promise<void> {
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

test('should run no key twice and say not-run of none that ran', async () => {
  const { fleet } = context;
  await publishService(fleet);
  const stop = new AbortController();
  const faults = breakThings(stop.signal);
  const told = (await Promise.all(Array.from({ length: CALLERS }, (_none, seed) => caller(seed)))).flat();
  stop.abort();
  await faults;
  const runs = new Map<string, number>();
  for (const { idempotencyKey } of await runsOf(fleet))
    runs.set(idempotencyKey, (runs.get(idempotencyKey) ?? 0) + 1);
  const twice = told.filter(({ key }) => (runs.get(key) ?? 0) > 1);
  const lies = told.filter(({ key, outcomes }) => outcomes.at(-1) === 'not-run' && runs.has(key));
  expect(twice).toEqual([]);
  expect(lies).toEqual([]);
  expect(told.length).toEqual(REQUESTS);
});
