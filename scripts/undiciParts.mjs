/**
 * Exports the parts of undici that the platform's daemons use. The whole package also loads fetch, caches and mocks, which
 * takes a third of the start time of a process.
 */
import callRequest from 'undici/lib/api/api-request.js';
import buildConnector from 'undici/lib/core/connect.js';
import errors from 'undici/lib/core/errors.js';
import Agent from 'undici/lib/dispatcher/agent.js';
import Client from 'undici/lib/dispatcher/client.js';

/** Like undici's `request`, but requires `options.dispatcher`. */
function request(url, options) {
  const { origin, pathname, search } = new URL(url);
  const method = options.method ?? (options.body ? 'PUT' : 'GET');
  return callRequest.call(options.dispatcher, { ...options, origin, path: `${pathname}${search}`, method });
}

export { Agent, Client, buildConnector, errors, request };
