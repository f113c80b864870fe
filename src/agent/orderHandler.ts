/** Handles orders from coordinators: checks the epoch, then passes the order to the host of its configuration. */
import type { ControlConnection } from '../protocol/controlConnection.js';
import { MAXIMUM_FRAME_BYTES } from '../protocol/frameCodec.js';
import type { Message } from '../protocol/message.js';
import type { OrderMessage, PlanMessage } from '../protocol/rolloutMessages.js';
import type { Ledger } from '../requests/ledger.js';
import type { Logger } from '../telemetry/logger.js';
import { assertNever } from '../utils/assert.js';
import { serviceKey } from './requestGate.js';
import type { OrderResult, ServiceHost } from './serviceHost.js';
import type { ServiceHosts } from './serviceHosts.js';

const ORDER_TYPES: ReadonlySet<Message['type']> = new Set([
  'plan',
  'grant',
  'activate',
  'withdraw',
  'holdings-query',
  'ledger',
  'ledger-export',
  'ledger-import',
]);

export function isOrder(message: Message): message is OrderMessage {
  return ORDER_TYPES.has(message.type);
}

/** Reply to an order: its result, and the data that some orders ask for. */
interface OrderReply extends OrderResult {
  held?: Uint8Array<ArrayBuffer>;
  openDraws?: number[];
  originBytes?: number;
  incarnation?: string;
  keys?: string[];
  more?: boolean;
}

/** Leaves room for the other fields of a reply. */
const MAXIMUM_KEYS_BYTES = MAXIMUM_FRAME_BYTES - 64 * 1024;

export interface OrderHandlerOptions {
  incarnation: string;
  hosts: ServiceHosts;
  ledger: Ledger;
  logger: Logger;
  /** Called after each plan, since it may have changed the neighbours. */
  onPlan: () => void;
  /** Called after each order that sets the ledger slots of this agent. */
  onLedger: () => void;
  isLeaving: () => boolean;
}

/** Executes orders. An order with an old epoch, sent by a coordinator that lost its lease while paused, is refused. */
export class OrderHandler {
  private readonly _options: OrderHandlerOptions;

  constructor(options: OrderHandlerOptions) {
    this._options = options;
  }

  /** Executes an order and replies on `connection`. */
  async handle(order: OrderMessage, connection: ControlConnection): Promise<void> {
    const host = this._options.hosts.getOrCreate(order.customer, order.configuration);
    const { customer, configuration, epoch, type } = order;
    if (!host.admitEpoch(epoch)) {
      this._options.logger.state('order.refused', {
        order: type,
        customer,
        configuration,
        epoch,
        peer: connection.peer.box,
      });
      connection.reply(order.call, { accepted: false, refusal: 'stale-epoch' });
      return;
    }
    connection.reply(order.call, await this._execute(order, host));
  }

  private async _execute(order: OrderMessage, host: ServiceHost): Promise<OrderReply> {
    switch (order.type) {
      case 'plan':
        return await this._plan(order, host);
      case 'grant':
        return this._options.isLeaving() ? { accepted: false, refusal: 'leaving' } : host.grant(order);
      case 'activate':
        return await host.activate(order);
      case 'withdraw':
        return await host.withdraw();
      case 'holdings-query':
        return this._holdings(order.rollout);
      case 'ledger':
        this._options.ledger.assign(serviceKey(order), order.slots);
        this._options.onLedger();
        return { accepted: true };
      case 'ledger-export':
        return this._exportKeys(serviceKey(order), order.after);
      case 'ledger-import':
        this._options.ledger.importKeys(order.keys);
        return { accepted: true };
      default:
        return assertNever(order);
    }
  }

  /** Refuses to hand over all keys at once if they do not fit into a message; they are lost with the agent then. */
  private _exportKeys(service: string, after: string | undefined): OrderReply {
    const { ledger } = this._options;
    if (after !== undefined) return { accepted: true, ...ledger.exportPart(service, after) };
    const { keys, more } = ledger.exportPart(service, '', MAXIMUM_KEYS_BYTES);
    return more ? { accepted: false } : { accepted: true, keys };
  }

  private async _plan(order: PlanMessage, host: ServiceHost): Promise<OrderReply> {
    const result = await host.plan(order);
    this._options.onPlan();
    host.startTransfers();
    return { ...result, ...this._holdings(order.rollout) };
  }

  private _holdings(rollout: string): OrderReply {
    const version = this._options.hosts.versions().find((candidate) => candidate.plan.rollout === rollout);
    if (!version) return { accepted: false, refusal: 'unknown-rollout' };
    const { held, openDraws, counts } = version.exchange;
    const { incarnation } = this._options;
    const { originBytes } = counts;
    return { accepted: true, held: held.toBytes(), openDraws: [...openDraws], originBytes, incarnation };
  }
}
