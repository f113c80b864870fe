/** Tests which backend servers a request may be sent to during a version change. */
import { test } from 'node:test';
import { expect } from 'earl';
import { eligibleServers } from '../src/serving/serverEligibility.js';
import type { VersionedServer } from '../src/serving/serverEligibility.js';
import type { ServerRequirements } from '../src/serving/serverRequirements.js';

interface NamedServer extends VersionedServer {
  name: string;
}

function server(name: string, version: number, changes: Partial<VersionedServer> = {}): NamedServer {
  const healthy = {
    startsPromptly: true,
    switching: false,
    agentSilent: false,
    unresponsive: false,
    slowLink: false,
  };
  return { name, version: () => version, ...healthy, ...changes };
}

const REQUIREMENTS: ServerRequirements = {
  service: 's',
  permittedRegions: 'any',
  model: 'm',
  minVersion: 0,
  minVersionIfSlow: 0,
  preferredVersion: 0,
  newestVersion: 2,
  objectiveMilliseconds: 400,
  isContinuation: false,
  tried: new Set(),
};

function namesOf(servers: NamedServer[], requirements: Partial<ServerRequirements> = {}): string[] {
  return eligibleServers(servers, { ...REQUIREMENTS, ...requirements }).map(({ name }) => name);
}

for (const [what, changes] of [
  ['whose agent is silent', { agentSilent: true }],
  ['that is silent itself', { unresponsive: true }],
  ['whose link is slow', { slowLink: true }],
] as const) {
  test(`should not use a server with an older version ${what} while there is another`, () => {
    expect(namesOf([server('frozen', 1, changes), server('old', 1)])).toEqual(['old']);
    expect(namesOf([server('frozen', 1, changes)])).toEqual(['frozen']);
    expect(namesOf([server('newest', 2, changes), server('old', 1)])).toEqual(['newest', 'old']);
  });
}

test('should not use an older version shortly before the deadline, and earlier where requests queue', () => {
  const servers = [server('old', 1), server('waiting', 1, { startsPromptly: false }), server('new', 2)];
  expect(namesOf(servers, { minVersionIfSlow: 2 })).toEqual(['old', 'new']);
  expect(namesOf(servers, { minVersion: 2, minVersionIfSlow: 2 })).toEqual(['new']);
});

test('should not use a server that is switching versions or has none', () => {
  expect(namesOf([server('switching', 1, { switching: true }), server('empty', 0)])).toEqual([]);
});

/**
 * Guards against a request that begins on an older version after the deadline, although the entry has cancelled it.
 * If no other server was available, requests were sent to boxes with slow links until 1.5 s before the deadline,
 * without allowing for delays on the way. One was sent 5.4 s after version 2 was announced, over a link reduced to a
 * fifth of its bandwidth. It took 2.7 s to arrive, and the reset that cancelled it arrived after it, so it began
 * 0.28 s after the deadline.
 */
test('should not use an older version close to the deadline if requests may be delayed', () => {
  const late: Partial<ServerRequirements> = { preferredVersion: 2 };
  for (const changes of [{ agentSilent: true }, { unresponsive: true }, { slowLink: true }]) {
    expect(namesOf([server('frozen', 1, changes)], late)).toEqual([]);
    expect(namesOf([server('frozen', 1, changes), server('old', 1)], late)).toEqual(['old']);
    expect(namesOf([server('newest', 2, changes)], late)).toEqual(['newest']);
  }
});
