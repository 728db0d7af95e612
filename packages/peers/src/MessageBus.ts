/** The subject of a message. */
export type MessageTopic = 'revision' | 'presence' | 'quarantine' | 'demand' | 'ledger';

/** The latest message that one daemon published under one key. */
export interface BusMessage {
  readonly topic: MessageTopic;
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
export interface MessageBus {
  /**
   * Publishes `value`, which expires after `lifetimeMs` unless it is published again. Throws a
   * RangeError if key, instance id and value encode to more than 600 bytes.
   */
  readonly publish: (topic: MessageTopic, key: string, value: unknown, lifetimeMs: number) => void;
  /**
   * Calls `listener` with each new message of another daemon; returns a function that unsubscribes
   * it.
   */
  readonly onMessage: (topic: MessageTopic, listener: (message: BusMessage) => void) => () => void;
  /** Returns the unexpired messages of a topic, from every origin. */
  readonly latest: (topic: MessageTopic) => readonly BusMessage[];
}
