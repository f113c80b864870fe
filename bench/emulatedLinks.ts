/** Emulates the outgoing links of boxes on loopback: a proxy in front of each box's chunk server. */
import net from 'node:net';
import { RateLimiter } from '../src/utils/rateLimiter.js';
import { pause } from '../src/utils/timers.js';

/** Rates and delays of the emulated links. */
export interface LinkOptions {
  /** Rate of each box's outgoing link. Agents limit the incoming one themselves. */
  boxBytesPerSecond: number;
  /** Rate from one data centre to another for all boxes of this thread together. */
  regionBytesPerSecond: number;
  /** One-way delay between data centres. */
  regionMilliseconds: number;
  /** Share of each outgoing link that other traffic takes. */
  otherTraffic: number;
  /** Returns the data centre of a box. */
  dataCentreOf: (box: string) => string;
}

const BLOCK_BYTES = 8_192;
const OTHER_TRAFFIC_INTERVAL_MILLISECONDS = 20;
const AUTHORIZATION = /authorization: Bearer ([^.\r]+)\./i;

/** Where the servers of a box listen, and where others connect to them. */
export interface BoxAddresses {
  address: string;
  outside: string;
  chunkPort: number;
  controlPort: number;
}

interface BoxLink {
  dataCentre: string;
  sending: RateLimiter;
  /** Factor by which the link is slowed down. */
  slowdown: number;
}

export class EmulatedLinks {
  private readonly _options: LinkOptions;
  private readonly _boxes = new Map<string, BoxLink>();
  private readonly _regions = new Map<string, RateLimiter>();
  private readonly _servers: net.Server[] = [];
  private readonly _sockets = new Set<net.Socket>();
  private readonly _timer: NodeJS.Timeout;

  constructor(options: LinkOptions) {
    this._options = options;
    this._timer = setInterval(() => this._sendOtherTraffic(), OTHER_TRAFFIC_INTERVAL_MILLISECONDS);
  }

  /** Emulates the link of a box, whose servers listen at `address` while others connect to `outside`. */
  async add(box: string, dataCentre: string, link: BoxAddresses): Promise<void> {
    const { address, outside, chunkPort, controlPort } = link;
    const sending = new RateLimiter(this._options.boxBytesPerSecond);
    this._boxes.set(box, { dataCentre, sending, slowdown: 1 });
    await this._listen(outside, chunkPort, (client) => this._onChunkClient(box, client, link));
    await this._listen(outside, controlPort, (client) => {
      const server = net.connect(controlPort, address);
      this._track(client, server);
      client.pipe(server).pipe(client);
    });
  }

  /** Slows down the link of a box by `factor`; 1 ends it. */
  throttle(box: string, factor: number): void {
    this._boxes.get(box)!.slowdown = factor;
  }

  close(): void {
    clearInterval(this._timer);
    for (const server of this._servers) server.close();
    for (const socket of this._sockets) socket.destroy();
  }

  private async _listen(host: string, port: number, onClient: (client: net.Socket) => void): Promise<void> {
    const server = net.createServer(onClient);
    this._servers.push(server);
    await new Promise<void>((resolve) => server.listen(port, host, resolve));
  }

  private _track(client: net.Socket, server: net.Socket): void {
    for (const [socket, other] of [
      [client, server],
      [server, client],
    ]) {
      this._sockets.add(socket);
      socket.on('error', () => other.destroy());
      socket.once('close', () => {
        this._sockets.delete(socket);
        other.destroy();
      });
    }
  }

  /** The first request tells which box a connection belongs to. */
  private _onChunkClient(sender: string, client: net.Socket, { address, chunkPort }: BoxAddresses): void {
    const server = net.connect(chunkPort, address);
    this._track(client, server);
    client.once('data', (head: Buffer) => {
      const receiver = AUTHORIZATION.exec(head.toString('latin1'))?.[1] ?? '';
      server.write(head);
      client.pipe(server);
      void this._transfer(sender, this._options.dataCentreOf(receiver), server, client).catch(() =>
        client.destroy(),
      );
    });
  }

  private async _transfer(sender: string, to: string, from: net.Socket, client: net.Socket): Promise<void> {
    const { dataCentre, sending } = this._boxes.get(sender)!;
    const isRemote = dataCentre !== to;
    for await (const data of from as AsyncIterable<Buffer>) {
      for (let start = 0; start < data.length; start += BLOCK_BYTES) {
        const block = data.subarray(start, start + BLOCK_BYTES);
        const { slowdown } = this._boxes.get(sender)!;
        const wait = Math.max(
          sending.reserve(block.length * slowdown),
          isRemote ? this._region(dataCentre, to).reserve(block.length) : 0,
        );
        if (wait >= 1) await pause(wait);
        if (isRemote) setTimeout(() => client.write(block), this._options.regionMilliseconds);
        else client.write(block);
      }
    }
  }

  private _region(from: string, to: string): RateLimiter {
    const name = `${from}/${to}`;
    let limiter = this._regions.get(name);
    if (!limiter) this._regions.set(name, (limiter = new RateLimiter(this._options.regionBytesPerSecond)));
    return limiter;
  }

  private _sendOtherTraffic(): void {
    const { otherTraffic, boxBytesPerSecond } = this._options;
    const bytes = (boxBytesPerSecond * otherTraffic * OTHER_TRAFFIC_INTERVAL_MILLISECONDS) / 1_000;
    if (bytes > 0) for (const { sending } of this._boxes.values()) sending.reserve(bytes);
  }
}
