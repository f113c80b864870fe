/** A backend server that answers each request as the test says, down to single bytes. */
import net from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

/** A request as it arrived. */
export interface ArrivedRequest {
  method: string;
  path: string;
  /** By lower-case name. */
  headers: Map<string, string>;
  body: string;
  socket: Socket;
}

/** Answers one request by writing to its socket. */
export type Script = (request: ArrivedRequest) => void;

const HEAD_END = '\r\n\r\n';

export class ScriptedBackend {
  readonly arrived: ArrivedRequest[] = [];
  /** Connections that were opened, and those that were closed. */
  opened = 0;
  closed = 0;
  /** Connections that ended with a reset. */
  resets = 0;
  private readonly _server: net.Server;
  private readonly _sockets = new Set<Socket>();
  private _script: Script;

  constructor(script: Script) {
    this._script = script;
    this._server = net.createServer((socket) => this._accept(socket));
  }

  /** Starts listening, at a free port unless one is named, and returns host:port. */
  async listen(host = '127.0.0.1', port = 0): Promise<string> {
    await new Promise<void>((resolve) => this._server.listen(port, host, resolve));
    return `${host}:${(this._server.address() as AddressInfo).port}`;
  }

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
      text = this._take(text, socket);
    });
  }

  private _take(text: string, socket: Socket): string {
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
    return this._take(text.slice(end), socket);
  }
}

/** What an answer holds; the request's id and a proof are added unless the test says otherwise. */
export interface ScriptedAnswer {
  status?: number;
  headers?: Record<string, string>;
  body?: string;
  id?: string;
  seal?: string | null;
}

/** The bytes of a whole answer. */
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

/** Answers at once with a whole answer. */
export function answers(answer: ScriptedAnswer = {}): Script {
  return (request) => void request.socket.write(answerBytes(request, answer));
}

/** One chunk of a chunked body. */
export function chunkOf(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** The head of a chunked stream. */
export function streamHead(request: ArrivedRequest, seal = 'seal'): string {
  const headers = { 'transfer-encoding': 'chunked', 'content-type': 'text/event-stream' };
  return answerBytes(request, { headers, body: '', seal });
}

/** Events with these ids. */
export function events(...ids: number[]): string {
  return ids.map((id) => `id: ${id}\ndata: event ${id}\n\n`).join('');
}
