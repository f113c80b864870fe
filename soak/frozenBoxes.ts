/**
 * Freezes a box, agent and server together, while its agent brings the server to a new version: once a staged chunk has
 * been corrupted, at a random moment from the first read of the check until the order has arrived at the server.
 */
import type { Random } from '../src/utils/random.js';
import { pause, waitAtMost } from '../src/utils/timers.js';
import type { FleetProcess } from './fleetProcess.js';
import type { PromiseChecks } from './promiseChecks.js';
import { MODEL_SERVICE } from './soakConfiguration.js';
import type { SoakBox, SoakFleet } from './soakFleet.js';

/** Longer than a chunk may have been corrupt when a server takes it. */
const FREEZE_MILLISECONDS = 3_500;
const MAX_FREEZES = 2;
const MAX_WAIT_MILLISECONDS = 4_000;
const AGENT_KILLED_SHARE = 0.2;

/** Options of {@link FrozenBoxes}. */
export interface FrozenBoxesOptions {
  fleet: SoakFleet;
  checks: PromiseChecks;
  random: Random;
}

export class FrozenBoxes {
  private readonly _options: FrozenBoxesOptions;

  constructor(options: FrozenBoxesOptions) {
    this._options = options;
  }

  /** Announces a version and freezes a box up to twice on the way to it. */
  async run(): Promise<void> {
    const { fleet, checks, random } = this._options;
    const boxes = fleet.boxes.filter(({ service }) => service === MODEL_SERVICE);
    const box = boxes[random.integer(boxes.length)];
    const agent = fleet.agents.find(({ name }) => name === `agent-${box.host}`);
    if (!agent) return;
    checks.onVersionAnnounced(fleet.announceWeights());
    const freezes = 1 + random.integer(MAX_FREEZES);
    for (let count = 0; count < freezes; count++) await this._freezeOnce(box, agent);
  }

  private async _freezeOnce(box: SoakBox, agent: FleetProcess): Promise<void> {
    const { runner } = box;
    const { random } = this._options;
    const chunks = Math.max(1, runner.staged.bytes.size);
    // Once in three times the order itself lies at the server.
    const readsBefore = random.integer(3) === 0 ? Number.POSITIVE_INFINITY : random.integer(2 * chunks);
    await waitAtMost(this._reached(box, readsBefore), MAX_WAIT_MILLISECONDS);
    runner.onStageCall = () => undefined;
    const isFrozen = agent.running && !agent.paused;
    if (isFrozen) agent.signal('SIGSTOP');
    runner.standStill();
    if (isFrozen) await pause(FREEZE_MILLISECONDS);
    if (isFrozen && random.fraction() < AGENT_KILLED_SHARE) await this._kill(agent);
    runner.wake();
    if (isFrozen) agent.signal('SIGCONT');
  }

  /** Resolves once the agent has made so many reads, or its order has arrived. A chunk has been corrupted by then. */
  private async _reached({ runner }: SoakBox, readsBefore: number): Promise<void> {
    const { random } = this._options;
    let reads = 0;
    await new Promise<void>((resolve) => {
      runner.onStageCall = (call) => {
        if (call === 'get' && ++reads < readsBefore) return;
        runner.onStageCall = () => undefined;
        runner.staged.corrupt(random.integer(Math.max(1, runner.staged.bytes.size)));
        runner.standStill();
        resolve();
      };
    });
  }

  private async _kill(agent: FleetProcess): Promise<void> {
    agent.signal('SIGKILL');
    await agent.ended();
    agent.start();
  }
}
