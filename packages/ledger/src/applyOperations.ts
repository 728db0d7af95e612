import type { LedgerEntry, OpenEntry } from './LedgerEntry';
import { isExpired } from './LedgerEntry';
import type {
  ClaimOperation,
  FinishOperation,
  LedgerOperation,
  OperationResult,
  ResolveOperation,
} from './LedgerOperation';

/** The inputs of applying operations other than the entries of the head. */
export interface ApplyContext {
  /** The current reading of the partition's clock. */
  readonly clockMs: number;
  /** How long after its run limit a request may still reach its target. */
  readonly settleMs: number;
  /**
   * The shortest time for which a key is remembered, whatever its route sets. A key is also kept for
   * at least as long as its request may still reach the target.
   */
  readonly minWindowMs: number;
  /** Entries of sealed segments for those keys of the operations that the head does not contain. */
  readonly sealed: ReadonlyMap<string, LedgerEntry>;
}

/** The entries after a list of operations, and the result of each operation. */
export interface AppliedOperations {
  readonly entries: ReadonlyMap<string, LedgerEntry>;
  readonly results: readonly OperationResult[];
  readonly changed: boolean;
}

interface Transition {
  readonly entry?: LedgerEntry;
  readonly result: OperationResult;
}

const recorded: OperationResult = { kind: 'recorded' };
const superseded: OperationResult = { kind: 'superseded' };

const settlesInMs = (entry: OpenEntry, context: ApplyContext): number => {
  if (entry.state === 'claimed') return entry.runLimitMs + context.settleMs;
  const settledAtMs = entry.unknownAtMs + entry.runLimitMs + context.settleMs;
  return Math.max(0, settledAtMs - context.clockMs);
};

const toClaimFields = (operation: ClaimOperation | FinishOperation, context: ApplyContext) => {
  const { keyId, requestDigest, claimId, holder, subject, runLimitMs } = operation;
  return {
    keyId,
    requestDigest,
    claimId,
    holder,
    subject,
    runLimitMs,
    claimedAtMs: context.clockMs,
    windowMs: Math.max(operation.windowMs, context.minWindowMs, runLimitMs + context.settleMs),
  };
};

const canSupersede = (operation: ClaimOperation, entry: OpenEntry): boolean => {
  if (operation.supersedes?.claimId !== entry.claimId) return false;
  if (operation.supersedes.because === 'key-honoured') return true;
  return entry.state === 'claimed' || entry.source === 'suspicion';
};

const toOpenResult = (entry: OpenEntry, context: ApplyContext): OperationResult => {
  const { claimId, holder } = entry;
  if (entry.state === 'claimed') return { kind: 'claimed', claimId, holder };
  return {
    kind: 'unknown',
    claimId,
    holder,
    source: entry.source,
    settlesInMs: settlesInMs(entry, context),
  };
};

const applyClaim = (
  entry: LedgerEntry | undefined,
  operation: ClaimOperation,
  context: ApplyContext,
): Transition => {
  const granted: Transition = {
    entry: { ...toClaimFields(operation, context), state: 'claimed' },
    result: { kind: 'granted' },
  };
  if (!entry || entry.state === 'abandoned') return granted;
  if (entry.requestDigest !== operation.requestDigest) return { result: { kind: 'key-reused' } };
  if (entry.state === 'ran') return { result: { kind: 'ran', answer: entry.answer } };
  if (entry.state === 'claimed' && entry.claimId === operation.claimId) {
    return { result: granted.result };
  }
  if (canSupersede(operation, entry)) return granted;
  return { result: toOpenResult(entry, context) };
};

const toFinishedEntry = (operation: FinishOperation, context: ApplyContext): LedgerEntry => {
  const open = toClaimFields(operation, context);
  if (operation.outcome === 'unknown') {
    return { ...open, state: 'unknown', source: 'holder', unknownAtMs: context.clockMs };
  }
  const { keyId, requestDigest, claimId, claimedAtMs, windowMs } = open;
  const closed = { keyId, requestDigest, claimId, claimedAtMs, windowMs };
  if (operation.outcome === 'not-run') return { ...closed, state: 'abandoned' };
  return { ...closed, state: 'ran', ...(operation.answer ? { answer: operation.answer } : {}) };
};

const applyFinish = (
  entry: LedgerEntry | undefined,
  operation: FinishOperation,
  context: ApplyContext,
): Transition => {
  if (!entry && operation.outcome === 'not-run') return { result: recorded };
  if (entry && entry.claimId !== operation.claimId) return { result: superseded };
  if (entry?.state === 'ran' && (entry.answer || !operation.answer)) return { result: recorded };
  const isClosed = entry?.state === 'abandoned' || entry?.state === 'ran';
  if (isClosed && operation.outcome !== 'ran') return { result: recorded };
  if (entry?.state === 'unknown' && entry.source === 'holder' && operation.outcome === 'unknown') {
    return { result: recorded };
  }
  return { entry: toFinishedEntry(operation, context), result: recorded };
};

const applySuspect = (
  entry: LedgerEntry | undefined,
  claimId: string,
  context: ApplyContext,
): Transition => {
  if (entry?.state !== 'claimed' || entry.claimId !== claimId) return { result: superseded };
  const unknown = { state: 'unknown', source: 'suspicion', unknownAtMs: context.clockMs } as const;
  return { entry: { ...entry, ...unknown }, result: recorded };
};

const applyResolve = (
  entry: LedgerEntry | undefined,
  operation: ResolveOperation,
  context: ApplyContext,
): Transition => {
  if (!entry || entry.claimId !== operation.claimId) return { result: superseded };
  const wantedState = operation.outcome === 'ran' ? 'ran' : 'abandoned';
  if (entry.state === wantedState) return { result: recorded };
  if (entry.state === 'ran' || entry.state === 'abandoned') return { result: superseded };
  const retryAfterMs = settlesInMs(entry, context);
  if (wantedState === 'abandoned' && (entry.state === 'claimed' || retryAfterMs > 0)) {
    return { result: { kind: 'too-early', retryAfterMs } };
  }
  const { keyId, requestDigest, claimId, claimedAtMs, windowMs } = entry;
  const closed = { keyId, requestDigest, claimId, claimedAtMs, windowMs };
  return {
    entry: { ...closed, state: wantedState, resolvedBy: operation.who },
    result: recorded,
  };
};

const applyOne = (
  entry: LedgerEntry | undefined,
  operation: LedgerOperation,
  context: ApplyContext,
): Transition => {
  switch (operation.kind) {
    case 'claim':
      return applyClaim(entry, operation, context);
    case 'finish':
      return applyFinish(entry, operation, context);
    case 'suspect':
      return applySuspect(entry, operation.claimId, context);
    default:
      return applyResolve(entry, operation, context);
  }
};

/** Applies operations in order to the entries of a partition; expired entries are ignored. */
export const applyOperations = (
  entries: ReadonlyMap<string, LedgerEntry>,
  operations: readonly LedgerOperation[],
  context: ApplyContext,
): AppliedOperations => {
  const next = new Map(entries);
  let changed = false;
  const results = operations.map((operation) => {
    const found = next.get(operation.keyId) ?? context.sealed.get(operation.keyId);
    const entry = found && !isExpired(found, context.clockMs) ? found : undefined;
    const step = applyOne(entry, operation, context);
    if (step.entry) {
      next.set(operation.keyId, step.entry);
      changed = true;
    }
    return step.result;
  });
  return { entries: next, results, changed };
};
