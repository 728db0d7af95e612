import type * as clock from '@comfreydrum/clock';
import type * as lifecycle from '@comfreydrum/lifecycle';
import type * as peers from '@comfreydrum/peers';
import type * as objectStore from '@comfreydrum/object-store';
import type * as telemetry from '@comfreydrum/telemetry';
import * as ulid from 'ulid';
import { createClaimFlow, type FlowDecision, type ResolveUnknown } from './createClaimFlow';
import { createGrantRegistry } from './createGrantRegistry';
import { createHolderClient } from './createHolderClient';
import { createLedgerAdmin, type LedgerAdmin } from './createLedgerAdmin';
import { createCircuitBreaker } from './createCircuitBreaker';
import { createOutcomeRecorder } from './createOutcomeRecorder';
import { createPartitions } from './createPartitions';
import { createKeyId, shortenDigest } from './keyIdentity';
import type { ClaimDecision, ClaimRequest, Grant, Ledger, RunOutcome } from './Ledger';
import type { ClaimOperation, FinishOperation, OperationResult } from './LedgerOperation';
import { ledgerSettingsSchema, type LedgerSettings } from './ledgerSettings';
import { createLedgerCounts, type LedgerStatistics } from './LedgerStatistics';

/** The dependencies of a ledger. */
export interface LedgerOptions {
  readonly platform: objectStore.PlatformClient;
  readonly membership: peers.Membership;
  readonly calls: peers.PeerCalls;
  readonly clock: clock.Clock;
  readonly timeline: telemetry.Timeline;
  readonly log: telemetry.Log;
  readonly instanceId: string;
  /** Returns uniform random numbers in [0, 1). */
  readonly random: () => number;
  /** Settings that differ from the defaults. */
  readonly settings?: Partial<LedgerSettings>;
  /** Queries the target about an unknown outcome; without it, only an operator can resolve one. */
  readonly resolveUnknown?: ResolveUnknown;
}

/** A ledger as a component of the daemon's lifecycle, with its administration and statistics. */
export interface LedgerComponent extends Ledger, lifecycle.Component {
  readonly admin: LedgerAdmin;
  readonly statistics: () => LedgerStatistics;
}

const refuse = (
  reason: string,
  retryAfterMs: number,
): Exclude<FlowDecision, { readonly kind: 'granted' }> => ({
  kind: 'refused',
  reason,
  retryAfterMs,
});

/** Creates the ledger of one daemon, which accepts claims once it has started. */
export const createLedger = (options: LedgerOptions): LedgerComponent => {
  const { membership, calls, timeline, log, random, clock: clockSource } = options;
  const settings = ledgerSettingsSchema.parse(options.settings ?? {});
  const counts = createLedgerCounts();
  const registry = createGrantRegistry(clockSource, settings.grantLifetimeMs);
  const holders = createHolderClient({
    calls,
    membership,
    registry,
    askTimeoutMs: settings.askTimeoutMs,
  });
  const partitions = createPartitions({
    client: options.platform,
    membership,
    calls,
    clockSource,
    settings,
    counts,
    onLayoutMismatch: (storedCount) => {
      const text = `${storedCount} partitions on the platform, ${settings.partitionCount} in the settings`;
      log.warn(
        { step: 'ledger layout', peer: 'platform' },
        `${text}; those on the platform are used`,
      );
      timeline.record('ledger.layout differs', { text });
    },
  });
  const breaker = createCircuitBreaker({
    clockSource,
    firstRetryMs: settings.outageRetryMs,
    retryLimitMs: settings.outageRetryLimitMs,
    random,
  });
  const reportToBreaker = (result: OperationResult): OperationResult => {
    if (result.kind !== 'refused') breaker.onResponse();
    else if (result.cause === 'platform-down') breaker.onUnavailable();
    return result;
  };

  const recorder = createOutcomeRecorder({
    registry,
    submit: async (operation) => reportToBreaker(await partitions.submit(operation)),
    firstRetryMs: settings.outageRetryMs,
    retryLimitMs: settings.outageRetryLimitMs,
    random,
    log,
    timeline,
  });
  const admin = createLedgerAdmin({
    holders,
    partitionCount: partitions.partitionCount,
    writerOf: partitions.writerOf,
    submit: partitions.submit,
    log,
    timeline,
  });
  const grantedOperations = new WeakMap<Grant, ClaimOperation>();
  let state: 'new' | 'started' | 'stopped' = 'new';

  const createFlow = (claimId: string) =>
    createClaimFlow({
      holders,
      settings,
      submit: async (operation) =>
        reportToBreaker(await partitions.submit(operation, () => registry.has(claimId))),
      resolveUnknown: options.resolveUnknown ?? (() => Promise.resolve('unknown')),
    });

  const createOperation = (request: ClaimRequest, runLimitMs: number): ClaimOperation => {
    const { team, customer, caller, routeName, key, windowMs } = request;
    return {
      kind: 'claim',
      keyId: createKeyId(request),
      requestDigest: shortenDigest(request.requestDigest),
      claimId: ulid.ulid(),
      holder: holders.self(),
      subject: { team, customer, caller, routeName, key },
      windowMs,
      runLimitMs,
    };
  };

  /** Waits for `decision` until `limitMs` of the monotonic clock, then abandons the claim. */
  const withTimeLimit = async (
    claimId: string,
    limitMs: number,
    decision: Promise<FlowDecision>,
  ): Promise<FlowDecision> => {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<FlowDecision>((resolve) => {
      const onTimeLimit = () => {
        registry.abandon(claimId);
        breaker.onTimeout();
        resolve(refuse('the ledger did not answer in time', settings.outageRetryMs));
      };
      timer = setTimeout(onTimeLimit, Math.max(0, limitMs - clockSource.monotonicMs()));
    });
    try {
      return await Promise.race([decision, timeout]);
    } finally {
      clearTimeout(timer);
    }
  };

  const toGrant = (request: ClaimRequest, operation: ClaimOperation): ClaimDecision => {
    const { claimId } = operation;
    const grant: Grant = { claimId, request, tryDispatch: () => registry.tryDispatch(claimId) };
    grantedOperations.set(grant, operation);
    return { kind: 'granted', grant };
  };

  const checkAdmission = (nowMs: number, deadlineMs: number): ClaimDecision | undefined => {
    if (state !== 'started') {
      return refuse(`the ledger is ${state}`, settings.outageRetryMs);
    }
    if (deadlineMs <= nowMs) return refuse('the deadline has passed', settings.runningRetryMs);
    if (registry.size() >= settings.trackedClaimLimit) {
      return refuse('too many claims are unsettled on this daemon', settings.outageRetryMs);
    }
    const waitMs = breaker.acquire();
    if (waitMs > 0) return refuse('the platform does not answer', waitMs);
    return undefined;
  };

  const decide = async (request: ClaimRequest, deadlineMs: number): Promise<ClaimDecision> => {
    const nowMs = clockSource.monotonicMs();
    const refusal = checkAdmission(nowMs, deadlineMs);
    if (refusal) return refusal;
    const operation = createOperation(request, Math.ceil(deadlineMs - nowMs));
    const { claimId } = operation;
    registry.open(claimId);
    const limitMs = Math.min(deadlineMs, nowMs + settings.claimTimeoutMs);
    const deciding = createFlow(claimId)(request, operation);
    const decision = await withTimeLimit(claimId, limitMs, deciding);
    if (decision.kind === 'granted') return toGrant(request, operation);
    registry.abandon(claimId);
    return decision;
  };

  const recordDecision = (request: ClaimRequest, decision: ClaimDecision) => {
    counts.claims[decision.kind] += 1;
    const { requestId, routeName } = request;
    timeline.record('ledger.claim', { requestId, outcome: decision.kind, text: routeName });
  };

  const canStoreAnswer = (outcome: RunOutcome): boolean =>
    outcome.kind === 'ran' &&
    outcome.answer !== undefined &&
    Buffer.byteLength(outcome.answer.bodyBase64, 'base64') <= settings.maxAnswerBytes;

  const toFinish = (operation: ClaimOperation, outcome: RunOutcome): FinishOperation => {
    const { supersedes, ...fields } = operation;
    const answer = outcome.kind === 'ran' && canStoreAnswer(outcome) ? outcome.answer : undefined;
    return { ...fields, kind: 'finish', outcome: outcome.kind, answer };
  };

  return {
    name: 'ledger',
    start: async () => {
      await partitions.start();
      state = 'started';
    },
    stop: async () => {
      state = 'stopped';
      await recorder.stop(settings.stopTimeoutMs);
    },
    claim: async (request, deadlineMs) => {
      const decision = await decide(request, deadlineMs);
      recordDecision(request, decision);
      return decision;
    },
    finish: async (grant, outcome) => {
      const operation = grantedOperations.get(grant);
      if (!operation)
        throw new Error(`finish: claim "${grant.claimId}" was not granted by this ledger`);
      await recorder.record(toFinish(operation, outcome));
    },
    admin,
    statistics: () => ({
      ...counts,
      claims: { ...counts.claims },
      trackedClaims: registry.size(),
      pendingOutcomes: recorder.pendingCount(),
      indexBytes: partitions.indexBytes(),
    }),
  };
};
