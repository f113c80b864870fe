/**
 * Authenticates the processes of the system to each other with a key that all of them share.
 * Traffic is not encrypted; that takes TLS (see docs/OPERATIONS.md).
 */
import { createHmac, timingSafeEqual } from 'node:crypto';

/** Returns the HMAC-SHA-256 of the joined `parts` under `key`, in hex. */
export function macOf(key: string, ...parts: string[]): string {
  return createHmac('sha256', key).update(parts.join('\n')).digest('hex');
}

/** Compares two MACs in constant time. */
export function sameMac(a: string, b: string): boolean {
  const left = Buffer.from(a);
  const right = Buffer.from(b);
  return left.length === right.length && timingSafeEqual(left, right);
}

/** Returns the bearer token that `sender` puts on its HTTP requests to other processes of the system. */
export function httpToken(key: string, sender: string): string {
  return `${sender}.${macOf(key, 'http', sender)}`;
}

/** Returns the sender of a bearer token made by {@link httpToken}, or undefined when it does not verify. */
export function senderOfToken(key: string, token: string): string | undefined {
  const dot = token.lastIndexOf('.');
  if (dot < 1) return undefined;
  const sender = token.slice(0, dot);
  return sameMac(token.slice(dot + 1), macOf(key, 'http', sender)) ? sender : undefined;
}
