/**
 * Chooses the sources of an entry's copies of the store's records, and whether the entry reads the store itself.
 * Pure functions.
 */

/** An entry that can provide its copies to others. */
export interface RecordSource {
  box: string;
  /** Address at which it accepts control connections, as host:port. */
  address: string;
}

/** What a choice depends on. */
export interface SourceChoiceInput {
  own: RecordSource;
  /** Live entries in an order that is the same at every entry. */
  ranking: readonly RecordSource[];
  /** Addresses from the settings, used as long as no other entry is known. */
  seeds: readonly string[];
  /** Whether a source, which may be this process, recently failed to provide the newest records. */
  hasFailed: (address: string) => boolean;
}

/** What an entry should do for its copies. */
export interface SourceChoice {
  /** Whether to read the store itself. */
  reads: boolean;
  /** Entries to listen to, in order of preference. */
  sources: readonly RecordSource[];
}

/**
 * Number of entries that read the store, however many entries there are, because calls to the store have a cost. With
 * a single reader nobody could tell that it lags behind; with two, each entry notices when either does.
 */
export const READER_COUNT = 2;

/** The first candidates that have not failed read the store; all other entries listen to them. */
export function chooseSources(input: SourceChoiceInput): SourceChoice {
  const { own, hasFailed } = input;
  const chosen: RecordSource[] = [];
  // Does not check the other candidates: this runs ten times a second, with up to a hundred of them.
  for (const candidate of candidatesOf(input)) {
    if (chosen.length === READER_COUNT) break;
    if (!hasFailed(candidate.address)) chosen.push(candidate);
  }
  const sources = chosen.filter(({ address }) => address !== own.address);
  // When all have failed, no entry reaches the store, and each checks by itself whether it is back.
  const reads = chosen.length === 0 || sources.length < chosen.length;
  return { reads, sources };
}

/**
 * Seeds replace the ranking while this process knows no other entry. All of them may be gone, so this process is the
 * last candidate.
 */
function candidatesOf({ own, ranking, seeds }: SourceChoiceInput): readonly RecordSource[] {
  if (ranking.some(({ address }) => address !== own.address)) return ranking;
  const fromSettings = seeds.map((address) => (address === own.address ? own : { box: address, address }));
  return fromSettings.includes(own) ? fromSettings : [...fromSettings, own];
}
