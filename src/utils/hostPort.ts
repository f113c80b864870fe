/** Parsing of addresses in the form host:port. */

/** Returns the host part of host:port. */
export function hostOf(address: string): string {
  return address.slice(0, address.lastIndexOf(':'));
}

/** Splits host:port into host and port. */
export function splitAddress(address: string): [host: string, port: number] {
  return [hostOf(address), Number(address.slice(address.lastIndexOf(':') + 1))];
}
