/**
 * The parts of undici that the platform's daemons use. The whole package also loads fetch, caches and mocks, which costs
 * a starting process a third of its time.
 */
const Agent = require('undici/lib/dispatcher/agent.js');
const Client = require('undici/lib/dispatcher/client.js');
const callRequest = require('undici/lib/api/api-request.js');
const buildConnector = require('undici/lib/core/connect.js');

/** As undici's own, but that a dispatcher must be given. */
function request(url, options) {
  const { origin, pathname, search } = new URL(url);
  const method = options.method ?? (options.body ? 'PUT' : 'GET');
  return callRequest.call(options.dispatcher, { ...options, origin, path: `${pathname}${search}`, method });
}

module.exports = { Agent, Client, buildConnector, request };
