/**
 * An agent that corrupts every tenth chunk it sends. Run `node dist/standins/faultyAgent.js` with the environment
 * variables of an agent.
 */
import type http from 'node:http';
import { AgentDaemon } from '../src/agent/agentDaemon.js';
import { checkSettings, runUntilStopped } from '../src/cli/daemonCommand.js';
import { agentSettingsSchema } from '../src/settings/agentSettings.js';
import { enableLogs } from '../src/telemetry/logger.js';
import { RateLimiter } from '../src/utils/rateLimiter.js';
import type { UploadRequest } from '../src/weights/uploadOrder.js';
import { UploadQueue } from '../src/weights/uploadQueue.js';

/** One of this many chunks is corrupted. */
const CORRUPTION_INTERVAL = 10;

class CorruptingUploadQueue extends UploadQueue {
  private _sent = 0;

  override async send(response: http.ServerResponse, data: Buffer, request: UploadRequest): Promise<void> {
    this._sent++;
    if (this._sent % CORRUPTION_INTERVAL !== 0) return await super.send(response, data, request);
    const corrupted = Buffer.from(data);
    corrupted[corrupted.length >> 1] ^= 0xff;
    await super.send(response, corrupted, request);
  }
}

const settings = checkSettings(agentSettingsSchema, {});
enableLogs(settings.log);
const uploads = new CorruptingUploadQueue(
  new RateLimiter(settings.weightBytesPerSecond),
  settings.stallMilliseconds,
);
await runUntilStopped(new AgentDaemon(settings, { uploads }), settings.box);
