/** Base class of the stand-ins: an HTTP server on loopback with JSON answers and fault injection. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';

/** A request with its parsed body. */
export interface StandinRequest {
  method: string;
  url: URL;
  headers: http.IncomingHttpHeaders;
  body: unknown;
  response: http.ServerResponse;
}

/** A stand-in for an external system. `POST /_faults` sets the faults in its body and leaves the others unchanged. */
export abstract class StandinServer<Faults extends object> {
  faults: Faults;
  private readonly _server = http.createServer((request, response) => void this._serve(request, response));

  protected constructor(faults: Faults) {
    this.faults = faults;
    this._server.keepAliveTimeout = 60_000;
  }

  /** Starts listening and returns the base URL. */
  async listen(port = 0): Promise<string> {
    await new Promise<void>((resolve) => this._server.listen(port, '127.0.0.1', resolve));
    return this.url;
  }

  /** The base URL. Valid while the server listens. */
  get url(): string {
    return `http://127.0.0.1:${(this._server.address() as AddressInfo).port}`;
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this._server.close();
    this.cutConnections();
  }

  /** Closes all connections but continues to listen. */
  cutConnections(): void {
    this._server.closeAllConnections();
  }

  protected abstract handle(request: StandinRequest): Promise<void> | void;

  private async _serve(incoming: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const url = new URL(incoming.url ?? '/', 'http://standin');
    try {
      const body = parseBody(await readBody(incoming));
      if (url.pathname === '/_faults') {
        this.faults = { ...this.faults, ...(body as Partial<Faults>) };
        sendJsonAnswer(response, 200, this.faults);
        return;
      }
      await this.handle({ method: incoming.method ?? 'GET', url, headers: incoming.headers, body, response });
    } catch (error) {
      if (!response.headersSent) sendJsonAnswer(response, 500, { error: String(error) });
      else response.destroy();
    }
  }
}

/** Sends a JSON answer. */
export function sendJsonAnswer(response: http.ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

async function readBody(incoming: http.IncomingMessage): Promise<string> {
  const pieces: Buffer[] = [];
  for await (const piece of incoming) pieces.push(piece as Buffer);
  return Buffer.concat(pieces).toString();
}

function parseBody(text: string): unknown {
  try {
    return text === '' ? undefined : JSON.parse(text);
  } catch {
    return text;
  }
}
