import * as pino from 'pino';

/** A structured log; bind the step and the request with `child`. */
export type Log = pino.Logger;

export interface LogOptions {
  readonly level: string;
  readonly instanceId: string;
}

/** A log that never waits for its reader. */
export interface BufferedLog {
  readonly log: Log;
  /** How often lines were left out because the reader stood still. */
  readonly droppedCount: () => number;
  /** Writes out what is buffered; call it before the process ends. */
  readonly flush: () => void;
}

/** Lines are written out together once they fill this much, or after the flush interval. */
const bufferedBytes = 4_096;
/** What a reader that stands still may cost in memory. */
const maxHeldBytes = 1_048_576;
const flushIntervalMs = 250;

const optionsOf = ({ level, instanceId }: LogOptions): pino.LoggerOptions => ({
  level,
  base: { instanceId },
  timestamp: pino.stdTimeFunctions.isoTime,
});

/** Creates the log of a process, written to standard output as JSON lines. */
export const createLog = (options: LogOptions): Log => pino.pino(optionsOf(options));

/** Changes the level of a log while it is used. */
export const setLogLevel = (log: Log, level: string): void => {
  // eslint-disable-next-line no-param-reassign -- pino has no other way to change a level
  log.level = level;
};

/** Creates a log to standard output that buffers lines and leaves some out when they are not read. */
export const createBufferedLog = (options: LogOptions): BufferedLog => {
  const destination = pino.destination({
    dest: 1,
    sync: false,
    minLength: bufferedBytes,
    maxLength: maxHeldBytes,
  });
  let droppedCount = 0;
  destination.on('drop', () => {
    droppedCount += 1;
  });
  // An error of standard output must not end the daemon, and there is nowhere left to log it.
  destination.on('error', () => {
    droppedCount += 1;
  });
  setInterval(() => destination.flush(), flushIntervalMs).unref();
  return {
    log: pino.pino(optionsOf(options), destination),
    droppedCount: () => droppedCount,
    flush: () => destination.flushSync(),
  };
};
