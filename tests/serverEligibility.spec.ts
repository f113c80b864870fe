/** Which backend servers a request may be sent to around a change of version. */
import { test } from 'node:test';
import { expect } from 'earl';
import { eligibleServers } from '../src/serving/serverEligibility.js';
import type { VersionedServer } from '../src/serving/serverEligibility.js';
import type { ServerNeed } from '../src/serving/serverNeed.js';

interface NamedServer extends VersionedServer {
  name: string;
}

function server(name: string, version: number, changes: Partial<VersionedServer> = {}): NamedServer {
  const well = { beginsSoon: true, switching: false, agentSilent: false, suspicious: false, slowLink: false };
  return { name, version: () => version, ...well, ...changes };
}

const NEED: ServerNeed = {
  service: 's',
  model: 'm',
  lowestVersion: 0,
  lowestVersionSlow: 0,
  preferredVersion: 0,
  newestVersion: 2,
  objectiveMilliseconds: 400,
  isCarriedOver: false,
  tried: new Set(),
};

function namesOf(servers: NamedServer[], need: Partial<ServerNeed> = {}): string[] {
  return eligibleServers(servers, { ...NEED, ...need }).map(({ name }) => name);
}

for (const [what, changes] of [
  ['whose agent is silent', { agentSilent: true }],
  ['that is silent itself', { suspicious: true }],
  ['whose link is narrow', { slowLink: true }],
] as const) {
  test(`should send nothing to a server of an older version ${what} while there is another`, () => {
    expect(namesOf([server('frozen', 1, changes), server('old', 1)])).toEqual(['old']);
    expect(namesOf([server('frozen', 1, changes)])).toEqual(['frozen']);
    expect(namesOf([server('newest', 2, changes), server('old', 1)])).toEqual(['newest', 'old']);
  });
}

test('should send nothing to an older version late before the bound, and sooner where requests wait', () => {
  const servers = [server('old', 1), server('waiting', 1, { beginsSoon: false }), server('new', 2)];
  expect(namesOf(servers, { lowestVersionSlow: 2 })).toEqual(['old', 'new']);
  expect(namesOf(servers, { lowestVersion: 2, lowestVersionSlow: 2 })).toEqual(['new']);
});

test('should send nothing to a server that changes its version or has none', () => {
  expect(namesOf([server('switching', 1, { switching: true }), server('empty', 0)])).toEqual([]);
});
