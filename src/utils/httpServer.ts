/** Helpers to start and stop Node's HTTP server. */
import type http from 'node:http';
import type { AddressInfo } from 'node:net';

/** Starts listening and returns the port, which the system chooses when `port` is 0. */
export async function listenHttp(server: http.Server, address: string, port: number): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, address, resolve);
  });
  return (server.address() as AddressInfo).port;
}

/** Stops listening and closes idle connections; other connections close after their current response. */
export function closeHttp(server: http.Server): void {
  server.close();
  server.closeIdleConnections();
}
