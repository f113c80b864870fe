/** Starting and stopping Node's http server. */
import type http from 'node:http';
import type { AddressInfo } from 'node:net';

/** Starts listening and returns the port. */
export async function listenHttp(server: http.Server, address: string, port: number): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, address, resolve);
  });
  return (server.address() as AddressInfo).port;
}

/** Stops listening; connections in use end after their present answer. */
export function closeHttp(server: http.Server): void {
  server.close();
  server.closeIdleConnections();
}
