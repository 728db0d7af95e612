import type * as peers from '@comfreydrum/peers';
import { encodeReport } from './encodeReport';
import { presenceReportLifetimeMs, type PresenceReport } from './PresenceReport';

const partKeyPattern = /^part \d+ of (.*)$/s;

/** Publishes a report in as many messages as it needs. */
export const publishReport = (
  messageBus: peers.MessageBus,
  key: string,
  report: PresenceReport,
): void =>
  encodeReport(report).forEach((row, index) =>
    messageBus.publish(
      'presence',
      index === 0 ? key : `part ${index} of ${key}`,
      row,
      presenceReportLifetimeMs,
    ),
  );

/** Returns the key of the first part, given the key of a later part; undefined for other keys. */
export const firstPartKeyOf = (key: string): string | undefined => partKeyPattern.exec(key)?.[1];

/** The key of an empty report, which carries only the sender's clock. */
export const clockReportKey = 'clock of the sender';

/**
 * Publishes an empty report, from which receivers learn the sender's clock.
 *
 * Receivers cannot estimate the delay of a sender's first message. Without this report, the first
 * real report of a new watcher would not count as evidence, and its second would be too late.
 */
export const publishClockReport = (
  messageBus: peers.MessageBus,
  sender: string,
  sentAtMs: number,
): void =>
  publishReport(messageBus, clockReportKey, {
    sender,
    sentAtMs,
    present: [],
    lost: [],
    absent: [],
    leaving: [],
  });
