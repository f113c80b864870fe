/** Serves the metrics of a process over HTTP. */
import type { ClientLimits } from '../limits/clientLimits.js';
import { LimitedServer } from '../limits/limitedServer.js';
import type { ServingMetrics } from './servingMetrics.js';

export class MetricsServer {
  private readonly _server: LimitedServer;

  /** Serves the metrics on `path`; every other path answers with status 404. */
  constructor(metrics: ServingMetrics, path: string, limits: ClientLimits) {
    this._server = new LimitedServer({ limits, isSide: true }, (request, response) => {
      if (request.url !== path) response.writeHead(404).end();
      else response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' }).end(metrics.exposition());
    });
  }

  async listen(address: string, port: number): Promise<number> {
    return await this._server.listen(address, port);
  }

  close(): void {
    this._server.close();
  }
}
