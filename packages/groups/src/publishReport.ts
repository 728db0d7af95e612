import type * as peers from '@comfreydrum/peers';
import { encodeReport } from './encodeReport';
import { presenceReportLifetimeMs, type PresenceReport } from './PresenceReport';

const partPattern = /^part \d+ of (.*)$/s;

/** Publishes a report in as many messages as it needs. */
export const publishReport = (news: peers.MessageBus, key: string, report: PresenceReport): void =>
  encodeReport(report).forEach((row, index) =>
    news.publish(
      'presence',
      index === 0 ? key : `part ${index} of ${key}`,
      row,
      presenceReportLifetimeMs,
    ),
  );

/** Returns the key of the first part, given the key of a later part; undefined for other keys. */
export const firstPartKeyOf = (key: string): string | undefined => partPattern.exec(key)?.[1];

/** The key of an empty report, which carries only the sender's clock. */
export const clockReportKey = 'clock of the sender';

/**
 * Publishes an empty report, from which receivers learn the sender's clock.
 *
 * Receivers cannot estimate the delay of a sender's first message. Without this report, the first
 * real report of a new watcher would not count as evidence, and its second would be too late.
 */
export const publishClockReport = (
  news: peers.MessageBus,
  sender: string,
  sentAtMs: number,
): void =>
  publishReport(news, clockReportKey, {
    sender,
    sentAtMs,
    present: [],
    lost: [],
    absent: [],
    leaving: [],
  });
