/** Stand-in for a service without a model: echoes requests and logs the ones that it ran. */
import { pause } from '../src/utils/timers.js';
import { RunLog, runFromHeaders } from './runLog.js';
import { StandinServer, sendJsonAnswer } from './standinServer.js';
import type { StandinRequest } from './standinServer.js';

/** Faults that can be injected. */
export interface PlainServiceFaults {
  /** As in `EngineFaults`. */
  requests: 'ok' | 'refuse' | 'lose-answer' | 'stall';
}

/** Answers requests to all paths after `delayMilliseconds`. */
export class PlainServiceStandin extends StandinServer<PlainServiceFaults> {
  private readonly _delayMilliseconds: number;
  private readonly _log = new RunLog();

  constructor(delayMilliseconds: number) {
    super({ requests: 'ok' });
    this._delayMilliseconds = delayMilliseconds;
  }

  protected override async handle(request: StandinRequest): Promise<void> {
    const { url, response, headers, body, method } = request;
    if (url.pathname === '/healthz') return sendJsonAnswer(response, 200, {});
    if (url.pathname === '/_runs') return sendJsonAnswer(response, 200, this._log.runs);
    if (this.faults.requests === 'refuse') return sendJsonAnswer(response, 503, { error: 'refusing' });
    this._log.add(runFromHeaders(headers, '', JSON.stringify(body ?? '')));
    if (this.faults.requests === 'stall') return;
    await pause(this._delayMilliseconds);
    if (this.faults.requests === 'lose-answer') {
      response.destroy();
      return;
    }
    sendJsonAnswer(response, 200, {
      method,
      path: url.pathname,
      customer: headers['larklatch-customer'],
      body,
    });
  }
}
