/** An agent that damages every tenth chunk it sends: `node dist/standins/faultyAgent.js` with an agent's variables. */
import type http from 'node:http';
import { AgentDaemon } from '../src/agent/agentDaemon.js';
import { checkSettings, runUntilStopped } from '../src/cli/daemonCommand.js';
import { agentSettingsSchema } from '../src/settings/agentSettings.js';
import { enableLogs } from '../src/telemetry/logger.js';
import { RateLimiter } from '../src/utils/rateLimiter.js';
import type { UploadRequest } from '../src/weights/uploadQueue.js';
import { UploadQueue } from '../src/weights/uploadQueue.js';

const DAMAGED_EVERY = 10;

class DamagingUploadQueue extends UploadQueue {
  private _sent = 0;

  override async send(response: http.ServerResponse, data: Buffer, request: UploadRequest): Promise<void> {
    this._sent++;
    if (this._sent % DAMAGED_EVERY !== 0) return await super.send(response, data, request);
    const damaged = Buffer.from(data);
    damaged[damaged.length >> 1] ^= 0xff;
    await super.send(response, damaged, request);
  }
}

const settings = checkSettings(agentSettingsSchema, {});
enableLogs(settings.log);
const uploads = new DamagingUploadQueue(
  new RateLimiter(settings.weightBytesPerSecond),
  settings.stallMilliseconds,
);
await runUntilStopped(new AgentDaemon(settings, { uploads }), settings.box);
