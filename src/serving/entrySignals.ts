/** Creates the backpressure signals of an entry, with limits shared among the known entries. */
import { limitShare } from '../backpressure/limitShare.js';
import { ServerSignals } from '../backpressure/serverSignals.js';
import type { EntryAddress } from '../protocol/boxMessages.js';
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import type { ConfigurationHolder } from './configurationHolder.js';
import type { EntryDirectory } from './entryDirectory.js';

export interface EntrySignalsOptions {
  own: EntryAddress;
  entries: EntryDirectory;
  configuration: ConfigurationHolder;
  clock: Clock;
  log: EventLog;
}

export function createEntrySignals(options: EntrySignalsOptions): ServerSignals {
  const { own, entries, configuration, clock, log } = options;
  return new ServerSignals({
    clock,
    log,
    box: own.box,
    share: (server, dataCentre, perSecond) =>
      limitShare({ server, dataCentre, perSecond, own: own.box, entries: entries.limitSharers() }),
    cold: {
      perSecond: (service) => configuration.index?.service(service)?.cold?.perSecond ?? 0,
      entries: () => entries.coldSharers(),
    },
  });
}
