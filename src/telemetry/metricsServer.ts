/** Serves the metrics of a process over HTTP. */
import http from 'node:http';
import { closeHttp, listenHttp } from '../utils/httpServer.js';
import type { ServingMetrics } from './servingMetrics.js';

export class MetricsServer {
  private readonly _server: http.Server;

  /** Serves the metrics on `path`; every other path answers with status 404. */
  constructor(metrics: ServingMetrics, path: string) {
    this._server = http.createServer((request, response) => {
      if (request.url !== path) response.writeHead(404).end();
      else response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' }).end(metrics.exposition());
    });
  }

  async listen(address: string, port: number): Promise<number> {
    return await listenHttp(this._server, address, port);
  }

  close(): void {
    closeHttp(this._server);
  }
}
