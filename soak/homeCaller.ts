/** A caller of the host with home regions. It checks which entries the directory names, and not the answers. */
import { sendJson } from '../src/external/httpClient.js';
import { pause } from '../src/utils/timers.js';
import { CUSTOMERS, HOME_HOST, HOME_PATH } from './soakConfiguration.js';
import { REGIONS } from './soakBounds.js';

export interface HomeCallerOptions {
  zone: string;
  /** Addresses of the directory endpoints of all entries, host:port. */
  directories: readonly string[];
  newId: () => string;
  /** Called for each entry (host:port) that a directory names. */
  onNamed: (entry: string) => void;
}

const PAUSE_MILLISECONDS = 120;
const TIMEOUT_MILLISECONDS = 1_000;

export class HomeCaller {
  private readonly _options: HomeCallerOptions;
  private _stopped = false;
  private _count = 0;

  constructor(options: HomeCallerOptions) {
    this._options = options;
  }

  /** Sends requests until {@link HomeCaller.stop}; resolves when the last one has ended. */
  async run(): Promise<void> {
    const { directories } = this._options;
    while (!this._stopped) {
      const directory = directories[this._count++ % directories.length];
      await this._request(directory).catch(() => undefined);
      await pause(PAUSE_MILLISECONDS);
    }
  }

  stop(): void {
    this._stopped = true;
  }

  /** Asks a directory for the entries and sends a request to one of them. */
  private async _request(directory: string): Promise<void> {
    const { zone, newId, onNamed } = this._options;
    const query = `name=${HOME_HOST}&region=${REGIONS[zone]}&zone=${zone}`;
    const common = { step: 'soak.home', method: 'GET', timeoutMilliseconds: TIMEOUT_MILLISECONDS } as const;
    const resolved = await sendJson({ ...common, url: `http://${directory}/resolve?${query}` });
    const { addresses = [] } = resolved.body as { addresses?: string[] };
    for (const address of addresses) onNamed(address);
    if (addresses.length === 0) return;
    const headers = {
      host: HOME_HOST,
      'x-attempt-id': newId(),
      authorization: `Bearer ${CUSTOMERS[0].api_keys[0]}`,
    };
    const entry = addresses[this._count % addresses.length];
    await sendJson({ ...common, headers, url: `http://${entry}${HOME_PATH}x` });
  }
}
