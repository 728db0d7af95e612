import type * as peers from '@comfreydrum/peers';
import { encodeWord } from './encodeWord';
import { presenceNewsLifetimeMs, type PresenceNews } from './PresenceNews';

const partPattern = /^part \d+ of (.*)$/s;

/** Publishes a report in as many messages as it needs. */
export const publishWord = (news: peers.News, key: string, report: PresenceNews): void =>
  encodeWord(report).forEach((row, index) =>
    news.publish(
      'presence',
      index === 0 ? key : `part ${index} of ${key}`,
      row,
      presenceNewsLifetimeMs,
    ),
  );

/** Returns the key of the first part, given the key of a later part; undefined for other keys. */
export const keyOfPart = (key: string): string | undefined => partPattern.exec(key)?.[1];

/** The key of an empty report, which carries only the sender's clock. */
export const greetingKey = 'clock of the sender';

/**
 * Publishes an empty report, from which receivers learn the sender's clock.
 *
 * Receivers cannot estimate the delay of a sender's first message. Without this report, the first
 * real report of a new watcher would not count as evidence, and its second would be too late.
 */
export const publishGreeting = (news: peers.News, sender: string, sentAtMs: number): void =>
  publishWord(news, greetingKey, {
    sender,
    sentAtMs,
    present: [],
    lost: [],
    absent: [],
    leaving: [],
  });
