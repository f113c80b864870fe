/** Sends a request for a stream, over a connection of a chosen kind, and reads it to its end. */
import http from 'node:http';
import { AnswerSocket } from '../src/utils/answerSocket.js';
import { splitAddress } from '../src/utils/hostPort.js';

/**
 * How a caller talks to an entry. `kept`: over connections that it keeps. `closing`: with `Connection: close`.
 * `http-1.0`: by HTTP/1.0, so that only the end of the connection ends a stream.
 */
export const CALLER_PROTOCOLS = ['kept', 'closing', 'http-1.0'] as const;
export type CallerProtocol = (typeof CALLER_PROTOCOLS)[number];

export interface StreamRequest {
  /** The address of the entry, host:port. */
  entry: string;
  path: string;
  headers: Record<string, string>;
  body: string;
  protocol: CallerProtocol;
}

/** What a caller has received. */
export interface ReceivedStream {
  protocol: CallerProtocol;
  /** HTTP status, 0 if there was no answer. */
  status: number;
  body: string;
  /** Whether the answer ended as complete, or with an error. */
  end: 'whole' | 'cut';
}

/** Time after which a caller gives up. */
const DEADLINE_MILLISECONDS = 3_000;
const HEAD_END = '\r\n\r\n';

/** Reads a stream; `agent` keeps the connections of the protocol `kept`. */
export async function readStream(request: StreamRequest, agent: http.Agent): Promise<ReceivedStream> {
  if (request.protocol === 'http-1.0') return await readToClose(request);
  return await readByHttp(request, request.protocol === 'kept' ? agent : false);
}

async function readByHttp(
  { entry, path, headers, body, protocol }: StreamRequest,
  agent: http.Agent | false,
): Promise<ReceivedStream> {
  const [host, port] = splitAddress(entry);
  const received: ReceivedStream = { protocol, status: 0, body: '', end: 'cut' };
  return await new Promise((resolve) => {
    const request = http.request({ host, port, method: 'POST', path, headers, agent }, (answer) => {
      received.status = answer.statusCode ?? 0;
      answer.on('data', (bytes: Buffer) => (received.body += bytes.toString()));
      answer.on('end', () => resolve({ ...received, end: 'whole' }));
      answer.on('error', () => resolve(received));
    });
    request.setTimeout(DEADLINE_MILLISECONDS, () => request.destroy());
    request.on('error', () => resolve(received));
    request.end(body);
  });
}

/** Reads until the connection ends, which {@link AnswerSocket} tells apart from a reset. */
async function readToClose({ entry, path, headers, body, protocol }: StreamRequest): Promise<ReceivedStream> {
  const socket = new AnswerSocket();
  const [host, port] = splitAddress(entry);
  const lines = Object.entries({ ...headers, 'content-length': String(body.length) });
  const head = [`POST ${path} HTTP/1.0`, ...lines.map(([name, value]) => `${name}: ${value}`)].join('\r\n');
  let text = '';
  const end = await new Promise<ReceivedStream['end']>((resolve) => {
    socket.on('data', (bytes: Buffer) => (text += bytes.toString()));
    socket.on('end', () => resolve('whole'));
    socket.on('error', () => resolve('cut'));
    socket.setTimeout(DEADLINE_MILLISECONDS, () => socket.destroy());
    socket.connect({ host, port });
    socket.write(`${head}${HEAD_END}${body}`);
  });
  socket.destroy();
  const [answerHead, ...rest] = text.split(HEAD_END);
  return { protocol, status: Number(answerHead.split(' ')[1] ?? 0), body: rest.join(HEAD_END), end };
}
