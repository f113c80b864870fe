/** Handles the requests of callers: admits or answers each of them, and forwards the admitted ones. */
import type http from 'node:http';
import type { MemoryShare } from '../limits/memoryBudget.js';
import { errorText } from '../utils/stepError.js';
import { CallerExchange, OWN_STATUS } from './callerExchange.js';
import { ForwardedRequest } from './forwardedRequest.js';
import type { ForwardingContext } from './forwardingContext.js';
import type { RequestAdmission } from './requestAdmission.js';

export class RequestHandler {
  private readonly _context: ForwardingContext;
  private readonly _admission: RequestAdmission;

  constructor(context: ForwardingContext, admission: RequestAdmission) {
    this._context = context;
    this._admission = admission;
  }

  /** Never throws. */
  async handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    memory: MemoryShare,
  ): Promise<void> {
    const { names, drain, log } = this._context;
    const exchange = new CallerExchange(request, response, names.requestId, () => drain.isLeaving, memory);
    let mayHaveRun = false;
    try {
      const open = drain.open(exchange);
      const admitted = await this._admission.admit(exchange);
      if (!admitted) return;
      const forwarded = new ForwardedRequest(this._context, admitted);
      open.endAtClose = () => forwarded.ending.endAtClose();
      mayHaveRun = true;
      forwarded.start();
    } catch (error) {
      log.state('request.error', { request: exchange.requestId, reason: errorText(error) });
      exchange.refuse(mayHaveRun ? OWN_STATUS.unknown : OWN_STATUS.notRun, 'internal error');
    }
  }
}
