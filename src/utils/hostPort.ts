/** Addresses written as host:port. */

/** The host of host:port. */
export function hostOf(address: string): string {
  return address.slice(0, address.lastIndexOf(':'));
}

/** Splits host:port. */
export function splitAddress(address: string): [host: string, port: number] {
  return [hostOf(address), Number(address.slice(address.lastIndexOf(':') + 1))];
}
