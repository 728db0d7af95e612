import * as pino from 'pino';

/** A structured logger; use `child` to bind fields such as the step and the request. */
export type Log = pino.Logger;

export interface LogOptions {
  readonly level: string;
  readonly instanceId: string;
}

/** A logger that drops lines instead of blocking when standard output is not read. */
export interface BufferedLog {
  readonly log: Log;
  /** Returns how often lines were dropped because standard output was blocked or failed. */
  readonly droppedCount: () => number;
  /** Writes the buffered lines synchronously; call it before the process exits. */
  readonly flush: () => void;
}

/** Buffered lines are written once they reach this size, or after the flush interval. */
const flushThresholdBytes = 4_096;
/** Limits the memory for lines that are waiting for a blocked reader; further lines are dropped. */
const maxBufferedBytes = 1_048_576;
const flushIntervalMs = 250;

const createPinoOptions = ({ level, instanceId }: LogOptions): pino.LoggerOptions => ({
  level,
  base: { instanceId },
  timestamp: pino.stdTimeFunctions.isoTime,
});

/** Creates a logger that writes JSON lines to standard output. */
export const createLog = (options: LogOptions): Log => pino.pino(createPinoOptions(options));

/** Changes the level of a logger at run time. */
export const setLogLevel = (log: Log, level: string): void => {
  // eslint-disable-next-line no-param-reassign -- pino has no other way to change a level
  log.level = level;
};

/**
 * Creates a logger that buffers its lines to standard output and drops lines when the buffer is
 * full.
 */
export const createBufferedLog = (options: LogOptions): BufferedLog => {
  const destination = pino.destination({
    dest: 1,
    sync: false,
    minLength: flushThresholdBytes,
    maxLength: maxBufferedBytes,
  });
  let droppedCount = 0;
  destination.on('drop', () => {
    droppedCount += 1;
  });
  // A write error on standard output must not end the daemon, and there is nowhere else to log it.
  destination.on('error', () => {
    droppedCount += 1;
  });
  setInterval(() => destination.flush(), flushIntervalMs).unref();
  return {
    log: pino.pino(createPinoOptions(options), destination),
    droppedCount: () => droppedCount,
    flush: () => destination.flushSync(),
  };
};
