/** `npm run soak -- --minutes M --seed S`: runs a soak for one seed after the other until the time is over. */
import meow from 'meow';
import { FAULT_KINDS } from './faultKinds.js';
import { soak } from './soakRun.js';

const HELP = `
  Usage
    $ npm run soak -- --minutes 5 --seed 1

  Options
    --minutes      no further seed starts after this time (default 3)
    --seed         the first seed; the same seed selects the same faults (default: from the clock)
    --seeds        maximum number of seeds (default 1000)
    --seconds      duration of the faults of one seed (default 12)
    --entries      number of entry processes (default 3)
    --boxes        number of boxes with a model server and an agent (default 6)
    --callers      number of callers (default 10)
    --planned      only planned operations, which must not fail any request
    --kinds        kinds of faults to select from, separated by commas (default: all)
    --grace        seconds from SIGTERM until a process has to be gone (default 3)
    --network      second octet of the loopback addresses (default 31)
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
    grace: { ...NUMBERS },
    network: { ...NUMBERS, default: 31 },
    planned: { type: 'boolean', default: false },
    kinds: { type: 'string', default: '' },
    verbose: { type: 'boolean', default: false },
  },
});

const { flags } = cli;
/** Every fourth seed runs planned operations only. */
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
    graceSeconds: flags.grace,
    network: flags.network,
    kinds: kinds.length > 0 ? kinds : undefined,
    log: (line) => flags.verbose && console.error(`${new Date().toISOString()} seed ${seed}: ${line}`),
  });
  if (report.breaches.length > 0) failedSeeds++;
  console.log(JSON.stringify({ ...report, plannedOnly }));
}
process.exit(failedSeeds > 0 ? 1 : 0);
