/** From whom an entry takes its copies of the store's records, and whether it reads the store itself. Pure. */

/** A process that may be asked for its copies. */
export interface RecordSource {
  box: string;
  /** Where its control connections are accepted, as host:port. */
  address: string;
}

/** What a choice depends on. */
export interface SourceChoiceInput {
  own: RecordSource;
  /** Live entries in an order that all of them work out alike. */
  ranking: readonly RecordSource[];
  /** Addresses that the settings name, for as long as no other entry is known otherwise. */
  seeds: readonly string[];
  /** Whether a source, this process included, has not been able to tell the newest lately. */
  hasFailed: (address: string) => boolean;
}

/** What an entry should do. */
export interface SourceChoice {
  /** Whether to read the store itself. */
  reads: boolean;
  /** Entries to listen to, the preferred one first. */
  sources: readonly RecordSource[];
}

/**
 * Entries that read the store, of however many there are: calls to the store have their price. With one reader, all copies
 * would be as old as that one takes them to be; with two, each entry notices when either falls behind.
 */
export const READER_COUNT = 2;

/** The first few that have not failed are read from; one that is among them reads the store. */
export function chooseSources(situation: SourceChoiceInput): SourceChoice {
  const { own, hasFailed } = situation;
  const candidates = candidatesOf(situation);
  const working = candidates.filter(({ address }) => !hasFailed(address));
  const chosen = working.slice(0, READER_COUNT);
  const sources = chosen.filter(({ address }) => address !== own.address);
  // when all have failed, the store is silent for all: each looks for itself whether it is back
  const reads = chosen.length === 0 || sources.length < chosen.length;
  return { reads, sources };
}

/** Seeds stand in for the ranking while this process knows of no other; they may be gone, so that it comes last itself. */
function candidatesOf({ own, ranking, seeds }: SourceChoiceInput): readonly RecordSource[] {
  if (ranking.some(({ address }) => address !== own.address)) return ranking;
  const fromSettings = seeds.map((address) => (address === own.address ? own : { box: address, address }));
  return fromSettings.includes(own) ? fromSettings : [...fromSettings, own];
}
