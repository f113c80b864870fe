/** `npm run soak -- --minutes M --seed S`: soaks one seed after the other until the time is over. */
import meow from 'meow';
import { FAULT_KINDS } from './faultKinds.js';
import { soak } from './soakRun.js';

const HELP = `
  Usage
    $ npm run soak -- --minutes 5 --seed 1

  Options
    --minutes      how long to go on with further seeds (default 3)
    --seed         the first seed; the same seed draws the same faults (default: from the clock)
    --seeds        how many seeds at the most (default 1000)
    --seconds      faults of one seed, in seconds (default 12)
    --entries      entry processes (default 3)
    --boxes        boxes with a model server and an agent (default 6)
    --callers      callers (default 10)
    --planned      only planned work, which no request may notice
    --kinds        faults to draw from, separated by commas (default: all)
    --network      second part of the loopback addresses (default 31)
    --verbose      print each fault
`;

const NUMBERS = { type: 'number' } as const;
const cli = meow(HELP, {
  importMeta: import.meta,
  flags: {
    minutes: { ...NUMBERS, default: 3 },
    seed: { ...NUMBERS, default: Math.floor(Date.now() / 1000) % 1_000_000 },
    seeds: { ...NUMBERS, default: 1_000 },
    seconds: { ...NUMBERS, default: 12 },
    entries: { ...NUMBERS, default: 3 },
    boxes: { ...NUMBERS, default: 6 },
    callers: { ...NUMBERS, default: 10 },
    network: { ...NUMBERS, default: 31 },
    planned: { type: 'boolean', default: false },
    kinds: { type: 'string', default: '' },
    verbose: { type: 'boolean', default: false },
  },
});

const { flags } = cli;
const SEEDS_PER_PLANNED_RUN = 4;
const names = flags.kinds.split(',').filter((name) => name !== '');
const kinds = FAULT_KINDS.filter((kind) => names.includes(kind));
if (kinds.length < names.length) {
  console.error(`soak: --kinds: got ${flags.kinds}; allowed: ${FAULT_KINDS.join(', ')}`);
  process.exit(2);
}
const until = Date.now() + flags.minutes * 60_000;
let failedSeeds = 0;
for (let seed = flags.seed; seed < flags.seed + flags.seeds && Date.now() < until; seed++) {
  const plannedOnly = flags.planned || seed % SEEDS_PER_PLANNED_RUN === 0;
  const report = await soak({
    seed,
    seconds: flags.seconds,
    size: { entries: flags.entries, modelBoxes: flags.boxes, plainServers: 3 },
    callers: flags.callers,
    plannedOnly,
    network: flags.network,
    kinds: kinds.length > 0 ? kinds : undefined,
    log: (line) => flags.verbose && console.error(`${new Date().toISOString()} seed ${seed}: ${line}`),
  });
  if (report.breaches.length > 0) failedSeeds++;
  console.log(JSON.stringify({ ...report, plannedOnly }));
}
process.exit(failedSeeds > 0 ? 1 : 0);
