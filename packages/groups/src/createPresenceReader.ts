import type * as peers from '@comfreydrum/peers';
import type * as telemetry from '@comfreydrum/telemetry';
import type { ArrivalClock } from './createArrivalClock';
import type { FedDirectory, KnownGroup } from './createDirectory';
import type { Duties } from './createDuties';
import type { FleetView } from './createFleetView';
import type { WordDecoder } from './createWordDecoder';
import { presenceNewsLifetimeMs, wordRowSchema, type PresenceNews } from './PresenceNews';
import { greetingKey, keyOfPart, publishWord } from './publishWord';

/**
 * Receives presence reports of watchers, and losses that other daemons saw while serving requests.
 */
export interface PresenceReader {
  readonly onNews: (item: peers.NewsItem) => void;
  /** Applies this daemon's own report on a fabric domain. */
  readonly onOwnWord: (fabricDomain: string, report: PresenceNews) => void;
}

/** Dependencies of the presence receiver. */
export interface PresenceReaderOptions {
  readonly log: telemetry.Log;
  readonly arrivalClock: ArrivalClock;
  readonly directory: FedDirectory;
  readonly view: FleetView;
  readonly duties: Duties;
  readonly decode: WordDecoder;
}

/** The key prefix of a loss seen while serving requests. */
const lossPrefix = 'loss of ';

/** Creates the presence receiver of a daemon. */
export const createPresenceReader = (options: PresenceReaderOptions): PresenceReader => {
  const { directory, view } = options;
  return {
    onOwnWord: (fabricDomain, report) => {
      view.onWord(fabricDomain, report);
      directory.onWord(report, 0, 0);
    },
    onNews: ({ key, origin, value, remainingMs }) => {
      const checked = wordRowSchema.safeParse(value);
      if (!checked.success) {
        options.log.warn({ step: 'read presence news', peer: origin }, checked.error.message);
        return;
      }
      const report = options.decode(checked.data);
      const firstPartKey = keyOfPart(key);
      const isOnDomain = !key.startsWith(lossPrefix) && key !== greetingKey;
      if (isOnDomain) options.duties.noteWord(firstPartKey ?? key, origin, report);
      if (isOnDomain && firstPartKey === undefined) view.onWord(key, report);
      const delayMs = options.arrivalClock.latenessMs(report.sender, report.sentAtMs) ?? Infinity;
      directory.onWord(report, presenceNewsLifetimeMs - remainingMs, delayMs);
    },
  };
};

/** Publishes a loss that this daemon saw while serving requests. */
export const publishLoss = (
  news: peers.News,
  { groupId, generation }: KnownGroup,
  sender: string,
  sentAtMs: number,
): void => {
  const report: PresenceNews = {
    sender,
    sentAtMs,
    present: [],
    lost: [[groupId, generation, 0, 'reported']],
    absent: [],
    leaving: [],
  };
  publishWord(news, `${lossPrefix}${groupId}`, report);
};
