import type * as net from 'node:net';
import type { Random } from '../createRandom';
import type { LinkFault } from './LinkFault';

/** Forwards the bytes of one direction of a connection, subject to the fault of its link. */
export interface FaultyPipe {
  /** Delivers the data that is due unless the link is cut; called when faults change. */
  readonly flush: () => void;
}

type QueueItem =
  | { readonly kind: 'data'; readonly chunk: Buffer; readonly dueMs: number }
  | { readonly kind: 'end' | 'reset'; readonly dueMs: number };

const maxQueuedBytes = 1_048_576;

/** Starts to forward what `source` receives to `sink`, in order. */
export const createFaultyPipe = (
  source: net.Socket,
  sink: net.Socket,
  readFault: () => LinkFault,
  random: Random,
): FaultyPipe => {
  let queue: QueueItem[] = [];
  let queuedBytes = 0;
  let lastDueMs = 0;
  let timer: NodeJS.Timeout | undefined;
  let isEnded = false;

  const deliver = (item: QueueItem) => {
    if (item.kind === 'data') {
      queuedBytes -= item.chunk.length;
      if (!sink.destroyed) sink.write(item.chunk);
    } else if (item.kind === 'end') sink.end();
    else sink.resetAndDestroy();
  };

  const updateFlow = () => {
    if (queuedBytes > maxQueuedBytes || sink.writableNeedDrain) source.pause();
    else source.resume();
  };

  const flush = () => {
    clearTimeout(timer);
    if (readFault().isCut) return;
    const nowMs = performance.now();
    const firstLater = queue.findIndex(({ dueMs }) => dueMs > nowMs);
    const due = firstLater < 0 ? queue : queue.slice(0, firstLater);
    queue = firstLater < 0 ? [] : queue.slice(firstLater);
    due.forEach(deliver);
    const [next] = queue;
    if (next) timer = setTimeout(flush, next.dueMs - nowMs);
    updateFlow();
  };

  const computeDueMs = (): number => {
    const { delayMs, jitterMs } = readFault();
    const delay = delayMs + jitterMs * random.fraction();
    lastDueMs = Math.max(lastDueMs, performance.now() + delay);
    return delay === 0 && queue.length === 0 ? 0 : lastDueMs;
  };

  const push = (item: QueueItem) => {
    queue.push(item);
    flush();
  };

  const enqueueEnd = (kind: 'end' | 'reset') => {
    if (isEnded) return;
    isEnded = true;
    push({ kind, dueMs: computeDueMs() });
  };

  source.on('data', (chunk: Buffer) => {
    queuedBytes += chunk.length;
    push({ kind: 'data', chunk, dueMs: computeDueMs() });
    updateFlow();
  });
  source.on('end', () => enqueueEnd('end'));
  source.on('error', () => enqueueEnd('reset'));
  source.on('close', () => enqueueEnd('reset'));
  sink.on('drain', updateFlow);
  return { flush };
};
