/** The subject of a message. */
export type NewsTopic = 'revision' | 'presence' | 'quarantine' | 'demand' | 'ledger';

/** The latest message that one daemon published under one key. */
export interface NewsItem {
  readonly topic: NewsTopic;
  readonly key: string;
  readonly origin: string;
  /** Increases with each message that `origin` publishes under the key. */
  readonly sequence: number;
  readonly value: unknown;
  /** Time until the message expires, in milliseconds, as of the time it is read. */
  readonly remainingMs: number;
}

/**
 * Disseminates small messages to every daemon by gossip. Of the messages that one origin publishes
 * under one key, the latest replaces the others.
 */
export interface News {
  /**
   * Publishes `value`, which expires after `lifetimeMs` unless it is published again. Throws a
   * RangeError if key, instance id and value encode to more than 600 bytes.
   */
  readonly publish: (topic: NewsTopic, key: string, value: unknown, lifetimeMs: number) => void;
  /**
   * Calls `listener` with each new message of another daemon; returns a function that unsubscribes
   * it.
   */
  readonly onNews: (topic: NewsTopic, listener: (message: NewsItem) => void) => () => void;
  /** Returns the unexpired messages of a topic, from every origin. */
  readonly latest: (topic: NewsTopic) => readonly NewsItem[];
}
