/** Parsing of addresses in the form host:port. */

/** Returns the host part of host:port. */
export function hostOf(address: string): string {
  return address.slice(0, address.lastIndexOf(':'));
}

const HIGHEST_PORT = 65_535;
const MAX_HOST_CHARACTERS = 253;
const ADDRESS = /^[A-Za-z0-9-]+(\.[A-Za-z0-9-]+)*:[1-9]\d{0,4}$/;

/** Whether `text` is host:port, and HTTP clients connect to that host and to no other one. */
export function isAddress(text: string): boolean {
  if (!ADDRESS.test(text) || !URL.canParse(`http://${text}`)) return false;
  const [host, port] = splitAddress(text);
  // The parser takes 010.1.1.1 for 8.1.1.1.
  const isAsWritten = new URL(`http://${text}`).hostname === host.toLowerCase();
  return isAsWritten && host.length <= MAX_HOST_CHARACTERS && port <= HIGHEST_PORT;
}

/** Splits host:port into host and port. */
export function splitAddress(address: string): [host: string, port: number] {
  return [hostOf(address), Number(address.slice(address.lastIndexOf(':') + 1))];
}
