/**
 * The parts of undici that the platform's daemons use. The whole package also loads fetch, caches and mocks, which costs
 * a starting process a third of its time.
 */
import callRequest from 'undici/lib/api/api-request.js';
import buildConnector from 'undici/lib/core/connect.js';
import Agent from 'undici/lib/dispatcher/agent.js';
import Client from 'undici/lib/dispatcher/client.js';

/** As undici's own, but that a dispatcher must be given. */
function request(url, options) {
  const { origin, pathname, search } = new URL(url);
  const method = options.method ?? (options.body ? 'PUT' : 'GET');
  return callRequest.call(options.dispatcher, { ...options, origin, path: `${pathname}${search}`, method });
}

export { Agent, Client, buildConnector, request };
