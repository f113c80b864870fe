/**
 * A TCP proxy whose open connections can go silent for good: nothing passes on them any more in either direction, and
 * neither end sees a close or a reset. New connections work.
 */
import net from 'node:net';

export class SilencingProxy {
  constructor({ host, port }) {
    this._target = { host, port };
    this._connections = new Set();
    this._server = net.createServer((client) => this._accept(client));
  }

  async listen(host) {
    await new Promise((resolve, reject) => {
      this._server.once('error', reject);
      this._server.listen(0, host, resolve);
    });
    return `${host}:${this._server.address().port}`;
  }

  /** Silences the connections that have carried nothing for `milliseconds`; returns how many of how many. */
  silenceIdle(milliseconds) {
    const open = [...this._connections].filter(({ isSilent }) => !isSilent);
    const idle = open.filter(({ usedAt }) => Date.now() - usedAt >= milliseconds);
    for (const connection of idle) connection.isSilent = true;
    return { silenced: idle.length, open: open.length };
  }

  close() {
    this._server.close();
    for (const { client, server } of this._connections) {
      client.destroy();
      server.destroy();
    }
  }

  _accept(client) {
    const server = net.connect(this._target);
    const connection = { client, server, usedAt: Date.now(), isSilent: false };
    this._connections.add(connection);
    for (const [from, to] of [
      [client, server],
      [server, client],
    ]) {
      from.setNoDelay(true);
      from.on('data', (bytes) => {
        if (connection.isSilent) return;
        connection.usedAt = Date.now();
        to.write(bytes);
      });
      from.on('error', () => from.destroy());
      from.on('close', () => {
        if (!connection.isSilent) to.destroy();
        if (client.destroyed && server.destroyed) this._connections.delete(connection);
      });
    }
  }
}
