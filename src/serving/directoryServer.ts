/** HTTP server for the directory of entries and the readiness check. */
import type http from 'node:http';
import type { ClientLimits } from '../limits/clientLimits.js';
import { LimitedServer } from '../limits/limitedServer.js';
import type { CallerPlace, NamesEntriesOf } from '../locality/directoryRegions.js';
import { answerJson, requestTarget } from '../utils/httpBody.js';
import { splitAddress } from '../utils/hostPort.js';
import type { EntryDirectory } from './entryDirectory.js';

/** Paths of the HTTP endpoints and the format of directory requests and answers. */
export interface DirectoryPaths {
  ready: string;
  directory: string;
  metrics: string;
  /** The host in the query of a directory request, '' for none. */
  hostOf(query: URLSearchParams): string;
  /** The place of the caller in the query of a directory request. */
  callerPlaceOf(query: URLSearchParams): CallerPlace;
  directoryAnswer(addresses: readonly string[], keepSeconds: number): unknown;
}

export interface DirectoryServerOptions {
  limits: ClientLimits;
  paths: DirectoryPaths;
  keepSeconds: number;
  entries: EntryDirectory;
  /** Which entries a caller of a host may use; undefined while the routes of the host are unknown. */
  mayNameTo: (caller: CallerPlace, host: string) => NamesEntriesOf | undefined;
  isReady: () => boolean;
}

/** Serves all endpoints on each of its addresses. */
export class DirectoryServer {
  private readonly _options: DirectoryServerOptions;
  private readonly _servers: LimitedServer[] = [];

  constructor(options: DirectoryServerOptions) {
    this._options = options;
  }

  /** Listens on each of the addresses (host:port). */
  async listen(addresses: ReadonlySet<string>): Promise<void> {
    const { limits } = this._options;
    for (const address of addresses) {
      const server = new LimitedServer({ limits, isSide: true }, (request, response) =>
        this._serve(request, response),
      );
      this._servers.push(server);
      await server.listen(...splitAddress(address));
    }
  }

  close(): void {
    for (const server of this._servers) server.close();
  }

  private _serve(request: http.IncomingMessage, response: http.ServerResponse): void {
    const { paths, keepSeconds, entries, mayNameTo, isReady } = this._options;
    const url = requestTarget(request);
    if (!url) return answerJson(response, 400, { error: 'the target is no valid path' });
    if (url.pathname === paths.ready)
      return answerJson(response, isReady() ? 200 : 503, { ready: isReady() });
    if (url.pathname !== paths.directory) return answerJson(response, 404, { error: 'no such path' });
    const caller = paths.callerPlaceOf(url.searchParams);
    const mayName = mayNameTo(caller, paths.hostOf(url.searchParams));
    const addresses = mayName ? entries.addressesFor(caller.dataCentre, mayName) : [];
    if (addresses.length === 0) return answerJson(response, 503, { error: 'no entry is known' });
    answerJson(response, 200, paths.directoryAnswer(addresses, keepSeconds));
  }
}
