/** A backend server whose answers are written byte by byte by the test, so that they can also be invalid. */
import net from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

/** A request as received. */
export interface ArrivedRequest {
  method: string;
  path: string;
  /** By lower-case name. */
  headers: Map<string, string>;
  body: string;
  socket: Socket;
}

/** Answers a request by writing to its socket. */
export type Script = (request: ArrivedRequest) => void;

const HEAD_END = '\r\n\r\n';

export class ScriptedBackend {
  readonly arrived: ArrivedRequest[] = [];
  /** Number of connections that were opened, and of those that were closed again. */
  opened = 0;
  closed = 0;
  /** Number of connections that failed, usually by a reset. */
  resets = 0;
  private readonly _server: net.Server;
  private readonly _sockets = new Set<Socket>();
  private _script: Script;

  constructor(script: Script) {
    this._script = script;
    this._server = net.createServer((socket) => this._accept(socket));
  }

  /** Starts listening, on a free port by default. Returns host:port. */
  async listen(host = '127.0.0.1', port = 0): Promise<string> {
    await new Promise<void>((resolve) => this._server.listen(port, host, resolve));
    return `${host}:${(this._server.address() as AddressInfo).port}`;
  }

  /** Replaces the script for further requests. */
  answerWith(script: Script): void {
    this._script = script;
  }

  close(): void {
    this._server.close();
    for (const socket of this._sockets) socket.destroy();
  }

  private _accept(socket: Socket): void {
    this.opened++;
    this._sockets.add(socket);
    socket.on('error', () => this.resets++);
    socket.once('close', () => {
      this.closed++;
      this._sockets.delete(socket);
    });
    let text = '';
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
      text = this._handleRequests(text, socket);
    });
  }

  /** Runs the script for each complete request in `text`; returns the rest. */
  private _handleRequests(text: string, socket: Socket): string {
    const headEnd = text.indexOf(HEAD_END);
    if (headEnd < 0) return text;
    const [first, ...lines] = text.slice(0, headEnd).split('\r\n');
    const [method, path] = first.split(' ');
    const headers = new Map<string, string>();
    for (const line of lines)
      headers.set(line.split(':', 1)[0].toLowerCase(), line.slice(line.indexOf(':') + 1).trim());
    const end = headEnd + HEAD_END.length + Number(headers.get('content-length') ?? 0);
    if (text.length < end) return text;
    const request = { method, path, headers, body: text.slice(headEnd + HEAD_END.length, end), socket };
    this.arrived.push(request);
    this._script(request);
    return this._handleRequests(text.slice(end), socket);
  }
}

/** Parts of an answer. By default it has the request's id and a seal; null omits the seal. */
export interface ScriptedAnswer {
  status?: number;
  headers?: Record<string, string>;
  body?: string;
  id?: string;
  seal?: string | null;
}

/** Returns a complete answer as text. */
export function answerBytes(request: ArrivedRequest, answer: ScriptedAnswer = {}): string {
  const { status = 200, headers = {}, body = 'body', id, seal = 'seal' } = answer;
  const all: Record<string, string> = {
    'larklatch-request-id': id ?? request.headers.get('larklatch-request-id') ?? '',
    ...(seal === null ? {} : { 'larklatch-seal': seal }),
    ...headers,
  };
  if (!('transfer-encoding' in all) && !('connection' in all)) all['content-length'] ??= String(body.length);
  const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}`);
  return `HTTP/1.1 ${status} Status\r\n${lines.join('\r\n')}\r\n\r\n${body}`;
}

/** Returns a script that sends a complete answer immediately. */
export function answers(answer: ScriptedAnswer = {}): Script {
  return (request) => void request.socket.write(answerBytes(request, answer));
}

/** Encodes one chunk of a chunked body. */
export function chunkOf(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Returns the head of a chunked event stream. */
export function streamHead(request: ArrivedRequest, seal = 'seal'): string {
  const headers = { 'transfer-encoding': 'chunked', 'content-type': 'text/event-stream' };
  return answerBytes(request, { headers, body: '', seal });
}

/** Returns the head of an event stream that has neither a length nor chunks, and ends with its connection. */
export function unframedStreamHead(request: ArrivedRequest): string {
  return answerBytes(request, {
    headers: { connection: 'close', 'content-type': 'text/event-stream' },
    body: '',
  });
}

/** Returns server-sent events with these ids. */
export function events(...ids: number[]): string {
  return ids.map((id) => `id: ${id}\ndata: event ${id}\n\n`).join('');
}
