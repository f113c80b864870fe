/** Tickets: signed idempotency keys issued by the system, which contain a ledger slot and its epoch. */
import { randomUUID } from 'node:crypto';
import { macOf, sameMac } from '../protocol/authentication.js';

/** Contents of a ticket. They prove that the key was not used before this epoch of the slot. */
export interface Ticket {
  slot: number;
  slotEpoch: number;
}

const PREFIX = 'lk1';
const MAC_LENGTH = 32;

/** Issues a key for requests to `service` (`customer.configuration`). */
export function issueTicket(sharedKey: string, service: string, ticket: Ticket): string {
  const body = [PREFIX, ticket.slot, ticket.slotEpoch, randomUUID()].join('.');
  return `${body}.${signature(sharedKey, service, body)}`;
}

/** Returns the contents of a key made by {@link issueTicket}, undefined for any other key. */
export function readTicket(sharedKey: string, service: string, key: string): Ticket | undefined {
  const parts = key.split('.');
  if (parts.length !== 5 || parts[0] !== PREFIX) return undefined;
  const body = parts.slice(0, 4).join('.');
  if (!sameMac(parts[4], signature(sharedKey, service, body))) return undefined;
  return { slot: Number(parts[1]), slotEpoch: Number(parts[2]) };
}

function signature(sharedKey: string, service: string, body: string): string {
  return macOf(sharedKey, 'ticket', service, body).slice(0, MAC_LENGTH);
}
