/** Runs stand-ins of one kind: `node dist/standins/main.js KIND [JSON options]`. Prints their URLs as JSON. */
import { BoxListStandin } from './boxListStandin.js';
import type { EngineOptions } from './engineStandin.js';
import { EngineStandin } from './engineStandin.js';
import { ObjectApiStandin } from './objectApiStandin.js';
import { OriginStandin } from './originStandin.js';
import { PlainServiceStandin } from './plainServiceStandin.js';

interface StandinOptions extends Partial<EngineOptions> {
  port?: number;
  bytesPerSecond?: number;
  delayMilliseconds?: number;
  /** Number of stand-ins in this process; 1 by default. */
  count?: number;
}

function create(kind: string, options: StandinOptions): { listen(port?: number): Promise<string> } {
  if (kind === 'object-api') return new ObjectApiStandin();
  if (kind === 'box-list') return new BoxListStandin();
  if (kind === 'origin') return new OriginStandin(options.bytesPerSecond ?? 0);
  if (kind === 'plain') return new PlainServiceStandin(options.delayMilliseconds ?? 5);
  if (kind === 'engine') {
    return new EngineStandin({
      checksFences: options.checksFences ?? true,
      slots: options.slots ?? 8,
      firstTokenMilliseconds: options.firstTokenMilliseconds ?? 5,
      tokenMilliseconds: options.tokenMilliseconds ?? 2,
    });
  }
  throw new Error(`unknown stand-in ${kind}; allowed: object-api, box-list, origin, engine, plain`);
}

const options = JSON.parse(process.argv[3] ?? '{}') as StandinOptions;
const urls: string[] = [];
for (let index = 0; index < (options.count ?? 1); index++) {
  urls.push(await create(process.argv[2], options).listen(options.port));
}
console.log(JSON.stringify({ event: 'listening', urls }));
process.on('disconnect', () => process.exit(0));
