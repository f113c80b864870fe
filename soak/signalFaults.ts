/** Makes servers send limits and Retry-After in their answers, without any other fault. */
import type { Random } from '../src/utils/random.js';
import { pause } from '../src/utils/timers.js';
import type { SignalChecks } from './signalChecks.js';
import type { SoakBox } from './soakFleet.js';

/** Longer than the grace period and the window of {@link SignalChecks} together. */
const LIMIT_MILLISECONDS = 8_000;
const LIMITS_PER_SECOND = [1, 2.8, 5];
const RETRY_AFTER_SECONDS = 3;
const COLD_MILLISECONDS = 6_000;
const REJECT_MILLISECONDS = 6_000;
const SHED_SHARE = 0.5;

/** Applies the faults of which the result is checked by {@link SignalChecks}. */
export class SignalFaults {
  private readonly _checks: SignalChecks;
  private readonly _random: Random;

  constructor(checks: SignalChecks, random: Random) {
    this._checks = checks;
    this._random = random;
  }

  /** Makes a server announce a limit for a while. */
  async limit({ runner }: SoakBox): Promise<void> {
    const limitPerSecond = LIMITS_PER_SECOND[this._random.integer(LIMITS_PER_SECOND.length)];
    runner.faults = { ...runner.faults, limitPerSecond };
    await pause(LIMIT_MILLISECONDS);
    runner.faults = { ...runner.faults, limitPerSecond: undefined };
    this._checks.onLimitLifted(runner.id);
  }

  /** Makes a server cold for a while; `publish` writes its record. */
  async turnCold({ runner }: SoakBox, publish: () => void): Promise<void> {
    runner.turnCold(COLD_MILLISECONDS);
    this._checks.onCold(runner.id, COLD_MILLISECONDS);
    publish();
    await pause(COLD_MILLISECONDS);
  }

  /** Makes a server reject half of its requests with Retry-After for a while. */
  async rejectWithRetryAfter({ runner }: SoakBox): Promise<void> {
    runner.faults = { ...runner.faults, sheddingShare: SHED_SHARE, retryAfterSeconds: RETRY_AFTER_SECONDS };
    await pause(REJECT_MILLISECONDS);
    runner.faults = { ...runner.faults, sheddingShare: 0, retryAfterSeconds: 0 };
  }
}
