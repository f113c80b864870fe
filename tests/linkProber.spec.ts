/** Tests which links an entry probes. */
import { test } from 'node:test';
import { expect } from 'earl';
import { LinkProber } from '../src/serving/linkProber.js';
import type { LinkProberOptions } from '../src/serving/linkProber.js';
import { EventLog } from '../src/telemetry/eventLog.js';

interface Probed {
  prober: LinkProber;
  lines: string[];
  probed: string[][];
  delays: Map<string, number>;
}

function prober(versions: Record<string, number>): Probed {
  const lines: string[] = [];
  const probed: string[][] = [];
  const delays = new Map<string, number>();
  const servers = Object.entries(versions).map(([host, version]) => ({
    host,
    record: { models: [{ name: 'm', version: 1 }] },
    version: () => version,
  }));
  const options = {
    pool: { all: () => servers },
    gate: { newest: () => 2 },
    links: {
      probe: (boxes: Iterable<string>) => void probed.push([...boxes]),
      delayMilliseconds: (box: string) => delays.get(box) ?? 0,
    },
    log: new EventLog({ write: (line) => void lines.push(line) }, 'state'),
  } as unknown as LinkProberOptions;
  return { prober: new LinkProber(options), lines, probed, delays };
}

test('should probe only boxes with an older version', () => {
  const { prober: made, probed } = prober({ '10.0.0.1': 1, '10.0.0.2': 2 });
  made.probe();
  expect(probed).toEqual([['10-0-0-1']]);
});

test('should log when a link becomes slow and when it recovers', () => {
  const { prober: made, lines, delays } = prober({ '10.0.0.1': 1 });
  made.probe();
  delays.set('10-0-0-1', 900);
  made.probe();
  made.probe();
  delays.set('10-0-0-1', 5);
  made.probe();
  expect(lines.map((line) => JSON.parse(line).step)).toEqual(['link.slow', 'link.well']);
});
