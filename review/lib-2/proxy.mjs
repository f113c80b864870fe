/** A TCP proxy on loopback. It can make open connections silent for good, without a reset, while new ones work. */
import net from 'node:net';

export class Proxy {
  #target;
  #connections = new Set();
  #server = net.createServer((client) => this.#accept(client));

  /** Forwards to `target`, host:port. */
  constructor(target) {
    this.#target = target;
  }

  async listen(host) {
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    return `${host}:${this.#server.address().port}`;
  }

  close() {
    this.#server.close();
    for (const { client, server } of this.#connections) {
      client.destroy();
      server.destroy();
    }
  }

  /**
   * From now on nothing passes on the connections that have carried nothing for `idleMilliseconds`, and neither end is
   * told. Returns how many these are, and how many others are open.
   */
  silenceIdle(idleMilliseconds) {
    const now = Date.now();
    let silenced = 0;
    for (const connection of this.#connections) {
      if (now - connection.lastByteAt < idleMilliseconds) continue;
      connection.isSilent = true;
      silenced++;
    }
    return { silenced, others: this.#connections.size - silenced };
  }

  #accept(client) {
    const [host, port] = this.#target.split(':');
    const server = net.connect({ host, port: Number(port) });
    const connection = { client, server, lastByteAt: Date.now(), isSilent: false };
    this.#connections.add(connection);
    const forward = (from, to) => {
      from.setNoDelay(true);
      from.on('error', () => undefined);
      from.on('data', (bytes) => {
        if (connection.isSilent) return;
        connection.lastByteAt = Date.now();
        if (!to.destroyed) to.write(bytes);
      });
      from.on('close', () => {
        // A packet that ends a silent connection is lost as well.
        if (!connection.isSilent) to.destroy();
        if (client.destroyed && server.destroyed) this.#connections.delete(connection);
      });
    };
    forward(client, server);
    forward(server, client);
  }
}
