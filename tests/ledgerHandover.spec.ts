/** Handover of idempotency keys from an agent that leaves to the next owner, through the coordinator. */
import { test } from 'node:test';
import { expect } from 'earl';
import type { OrderHandlerOptions } from '../src/agent/orderHandler.js';
import { OrderHandler } from '../src/agent/orderHandler.js';
import type { ControlConnection } from '../src/protocol/controlConnection.js';
import { FrameReader, encodeFrame } from '../src/protocol/frameCodec.js';
import { parseMessage } from '../src/protocol/messageParser.js';
import type { OrderMessage } from '../src/protocol/rolloutMessages.js';
import { Ledger } from '../src/requests/ledger.js';
import { assignSlots, slotsOf } from '../src/requests/ledgerSlots.js';
import type { LedgerAssignerServices } from '../src/rollout/ledgerAssigner.js';
import { LedgerAssigner } from '../src/rollout/ledgerAssigner.js';
import type { RolloutRecord } from '../src/rollout/rolloutRecord.js';
import type { RolloutBox } from '../src/rollout/rolloutView.js';
import { Logger } from '../src/telemetry/logger.js';
import { ManualClock } from '../src/utils/clock.js';

const NAME = { customer: 'studio', configuration: 'turns' };
const SERVICE = 'studio.turns';
const LIFETIME = 120_000;
const LIMITS = { maximumKeys: 100_000, maximumAnswerBytes: 1_000_000 };

/** An agent that is reached through encoded frames. */
class FramedAgent {
  readonly ledger = new Ledger({
    clock: new ManualClock(),
    keyLifetimeMilliseconds: LIFETIME,
    blindMilliseconds: LIFETIME,
    ...LIMITS,
  });
  readonly report: { incarnation: string };
  readonly connected = true;
  private readonly _orders: OrderHandler;

  constructor(readonly box: string) {
    this.report = { incarnation: `${box}1` };
    const options: Partial<OrderHandlerOptions> = { ledger: this.ledger, onLedger: () => undefined };
    const hosts = { getOrCreate: () => ({ admitEpoch: () => true }) };
    this._orders = new OrderHandler({ ...options, hosts } as unknown as OrderHandlerOptions);
  }

  async order(order: object): Promise<unknown> {
    let answer: unknown;
    const reply = (call: number, fields: object): void =>
      void (answer = throughFrame({ type: 'reply', call, ...fields }));
    const connection = { reply } as unknown as ControlConnection;
    await this._orders.handle(throughFrame({ ...order, call: 1 }) as OrderMessage, connection);
    return answer;
  }
}

function throughFrame(message: object): unknown {
  return parseMessage(new FrameReader().push(encodeFrame(message))[0]);
}

/** Guards against agents that end with all their requests at a planned stop, because their keys fill no message. */
test('should hand over more keys than fit into a message', async () => {
  const [leaving, next] = [new FramedAgent('a'), new FramedAgent('b')];
  const slots = assignSlots([], [{ box: 'a', incarnation: 'a1' }], () => 'owns');
  leaving.ledger.assign(SERVICE, slotsOf(slots, { box: 'a', incarnation: 'a1' }));
  const keys = Array.from({ length: 60_000 }, (_unused, number) => `${SERVICE}.${number}${'k'.repeat(190)}`);
  for (const key of keys) leaving.ledger.check(SERVICE, { key, slot: 0, slotEpoch: 1, ticketed: false });
  const links = new Map([leaving, next].map((agent) => [agent.box, agent]));
  let written: unknown;
  const services = {
    replica: { liveRevision: () => 1 },
    ledgers: { get: () => ({ slots, changeId: '' }) },
    writer: { put: async (_key: string, value: unknown) => ({ kind: 'written', value: (written = value) }) },
    boxes: { synchronised: true, get: () => ({}) },
    links,
    logger: new Logger('test'),
  } as unknown as LedgerAssignerServices;
  const boxes = [
    { box: 'a', link: leaving, expected: false, live: false, report: undefined },
    { box: 'b', link: next, expected: true, live: true, report: { activeRollout: 'r' } },
  ] as unknown as RolloutBox[];
  await new LedgerAssigner(services, NAME, () => 1).step({ phase: 'complete' } as RolloutRecord, boxes);
  expect(leaving.ledger.ownsSlots).toEqual(false);
  expect(next.ledger.size).toEqual(keys.length);
  const table = (written as { slots: typeof slots }).slots;
  expect(table.every(({ box, blind }) => box === 'b' && !blind)).toEqual(true);
});

test('should own slots until the last part of the keys is handed over', () => {
  const { ledger } = new FramedAgent('a');
  ledger.importKeys(['c', 'a', 'b'].map((key) => `${SERVICE}.${key}`));
  const first = ledger.exportPart(SERVICE, '', 40);
  expect(first).toEqual({ keys: [`${SERVICE}.a`, `${SERVICE}.b`], more: true });
  expect(ledger.ownsSlots).toEqual(true);
  expect(ledger.exportPart(SERVICE, `${SERVICE}.b`, 40)).toEqual({ keys: [`${SERVICE}.c`], more: false });
  expect(ledger.ownsSlots).toEqual(false);
});

test('should refuse to hand over at once what fits into no message', async () => {
  const agent = new FramedAgent('a');
  agent.ledger.importKeys(
    Array.from({ length: 60_000 }, (_unused, n) => `${SERVICE}.${n}${'k'.repeat(190)}`),
  );
  const reply = (await agent.order({ type: 'ledger-export', ...NAME, epoch: 1 })) as { accepted: boolean };
  expect(reply.accepted).toEqual(false);
});
