/**
 * Measures which share of the on-time requests of each rank got a slot. Answers the load pattern in which a lasting
 * shortage, or a surge of an urgent rank, would leave no slot at all to a less urgent one.
 */
import type { SlotOutcome } from './admissionPolicy.js';
import { DecayingCount } from './decayingCount.js';

/** Time in which a past outcome loses half of its weight: some ten requests of a rank at 2 a second. */
const HALF_LIFE_MILLISECONDS = 4_000;
/** A rank is deprived below this share of the mean of the more urgent ones; above a half, as a margin for the lag. */
const MIN_RELATIVE_SHARE = 0.6;
/** Weight below which a rank has too few outcomes to be judged. */
const MIN_WEIGHT = 3;

interface RankCounts {
  all: DecayingCount;
  sent: DecayingCount;
}

export class RankShares {
  private readonly _countsByService = new Map<string, RankCounts[]>();

  note(service: string, rank: number, outcome: SlotOutcome, now: number): void {
    const counts = this._countsByService.get(service) ?? [];
    this._countsByService.set(service, counts);
    while (counts.length <= rank) counts.push(newCounts());
    counts[rank].all.add(now);
    if (outcome === 'sent') counts[rank].sent.add(now);
  }

  /** Whether requests of `rank` get a slot so much more rarely than the more urgent ones that they must not yield. */
  isDeprived(service: string, rank: number, now: number): boolean {
    const counts = this._countsByService.get(service);
    const own = counts?.at(rank);
    if (!own || own.all.at(now) < MIN_WEIGHT) return false;
    const before = shareOf(counts!.slice(0, rank), now);
    return before !== undefined && shareOf([own], now)! < before * MIN_RELATIVE_SHARE;
  }
}

/** Share of the requests that got a slot; undefined when there are too few to tell. */
function shareOf(counts: readonly RankCounts[], now: number): number | undefined {
  const all = counts.reduce((sum, count) => sum + count.all.at(now), 0);
  const sent = counts.reduce((sum, count) => sum + count.sent.at(now), 0);
  return all < MIN_WEIGHT ? undefined : sent / all;
}

function newCounts(): RankCounts {
  return { all: new DecayingCount(HALF_LIFE_MILLISECONDS), sent: new DecayingCount(HALF_LIFE_MILLISECONDS) };
}
