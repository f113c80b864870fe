/** HTTP server for the directory of entries and the readiness check. */
import http from 'node:http';
import { answerJson } from '../utils/httpBody.js';
import { splitAddress } from '../utils/hostPort.js';
import { closeHttp, listenHttp } from '../utils/httpServer.js';
import type { EntryDirectory } from './entryDirectory.js';

/** Paths of the HTTP endpoints and the format of directory requests and answers. */
export interface DirectoryPaths {
  ready: string;
  directory: string;
  metrics: string;
  /** The data centre in the query of a directory request. */
  dataCentreOf(query: URLSearchParams): string;
  directoryAnswer(addresses: readonly string[], keepSeconds: number): unknown;
}

export interface DirectoryServerOptions {
  paths: DirectoryPaths;
  keepSeconds: number;
  entries: EntryDirectory;
  isReady: () => boolean;
}

/** Serves all endpoints on each of its addresses. */
export class DirectoryServer {
  private readonly _options: DirectoryServerOptions;
  private readonly _servers: http.Server[] = [];

  constructor(options: DirectoryServerOptions) {
    this._options = options;
  }

  /** Listens on each of the addresses (host:port). */
  async listen(addresses: ReadonlySet<string>): Promise<void> {
    for (const address of addresses) {
      const server = http.createServer((request, response) => this._serve(request, response));
      await listenHttp(server, ...splitAddress(address));
      this._servers.push(server);
    }
  }

  close(): void {
    for (const server of this._servers) closeHttp(server);
  }

  private _serve(request: http.IncomingMessage, response: http.ServerResponse): void {
    const { paths, keepSeconds, entries, isReady } = this._options;
    const url = new URL(request.url ?? '/', 'http://directory');
    if (url.pathname === paths.ready)
      return answerJson(response, isReady() ? 200 : 503, { ready: isReady() });
    if (url.pathname !== paths.directory) return answerJson(response, 404, { error: 'no such path' });
    const addresses = entries.addressesFor(paths.dataCentreOf(url.searchParams));
    if (addresses.length === 0) return answerJson(response, 503, { error: 'no entry is known' });
    answerJson(response, 200, paths.directoryAnswer(addresses, keepSeconds));
  }
}
