import * as clocks from '@comfreydrum/clock';
import * as errors from '@comfreydrum/errors';
import { forwardedHeadersOf } from './forwardedHeadersOf';
import type { Candidate } from './chooseTarget';
import { createResumeCheck, type ResumeCheck } from './createResumeCheck';
import { createEventSplitter, type StreamEvent } from './createEventSplitter';
import { isCloseDelimited } from './isCloseDelimited';
import { assessStall } from './assessStall';
import type { Holding } from './memory/createByteBudget';
import type { PlacedRun } from './placing/createPlacing';
import type { StreamProgress } from './createStreamProgress';
import type { RelayDependencies } from './RelayDependencies';
import type { RequestContext } from './RequestContext';
import type { RunControl } from './runs/superviseRuns';
import { excuseOf, sendToTarget, type MatchedResponse, type SendFailure } from './sendToTarget';

/**
 * What shows that a run has delivered its last event. The close of a connection alone shows little, as it may also be
 * the end of the process: `listening` is a target that still listened after it, `none` one that needn't.
 */
export type EndProof = 'framing' | 'listening' | 'none';

/** The result of one run of a stream. */
export type StreamResult =
  | {
      readonly kind: 'complete';
      readonly statusCode: number;
      readonly endProof: EndProof;
    }
  | {
      readonly kind: 'failed';
      readonly failure: SendFailure;
    };

/** How long a run has delivered nothing, and what that is taken for. */
export interface Silence {
  readonly silentMs: number;
  readonly reason: string;
}

/** One run of a stream on one target. */
export interface StreamAttempt {
  readonly candidate: Candidate;
  readonly progress: StreamProgress;
  readonly control: RunControl;
  /** Called in the tick in which the request is written to a connection of the target. */
  readonly onWrite: () => void;
  /** Called whenever the run is found silent; the run goes on. */
  readonly onSilent: (silence: Silence) => void;
}

/** Reports whether an event is the next one of the stream; events without ids can't be checked and pass. */
const isNext = ({ id }: StreamEvent, lastEventId: number | undefined): boolean =>
  id === undefined || lastEventId === undefined || id === lastEventId + 1;

/** An event holds a few tokens; comments between events are short and rare. */
const maxEventBytes = 65_536;

/** The end of a run: a description of the fault that ended it, if any, or what shows that it is complete. */
interface RelayedRun {
  readonly fault: string | undefined;
  readonly endProof: EndProof;
}

/** Forwards the complete events of a response. */
const relayEvents = (
  dependencies: RelayDependencies,
  context: RequestContext,
  { candidate, progress, control }: StreamAttempt,
  { answer }: MatchedResponse,
  placedRun: PlacedRun,
  resumeCheck: ResumeCheck | undefined,
): Promise<RelayedRun> =>
  new Promise((resolve) => {
    const { targetTracker, clock, metrics } = dependencies;
    const { response } = context;
    const { limitBytes } = dependencies.answerBudget;
    const splitter = createEventSplitter();
    let isFirstOfRun = true;
    const resume = () => answer.body.resume();

    let holding: Holding | undefined;
    let isSettled = false;
    const settle = (fault: string | undefined, endProof: EndProof = 'none') => {
      isSettled = true;
      response.off('drain', resume);
      holding?.release();
      resolve({ fault, endProof });
    };
    /** The bytes of the event that has not come completely. */
    holding = dependencies.answerBudget.hold(() => {
      settle(`its event was the largest of the answers in memory, over ${limitBytes} bytes`);
      answer.body.discard();
    });

    const recordEvent = (id: number | undefined, nowMs: number) => {
      const { lastEventAtMs } = progress.read();
      const gapMs = lastEventAtMs === undefined || isFirstOfRun ? undefined : nowMs - lastEventAtMs;
      placedRun.onEvent(gapMs, nowMs);
      if (lastEventAtMs === undefined) metrics.firstEventMs.record(nowMs - context.arrivedAtMs);
      else {
        metrics.gapMs.record(nowMs - lastEventAtMs);
        if (!isFirstOfRun) targetTracker.onGap(candidate.key, nowMs - lastEventAtMs);
      }
      isFirstOfRun = false;
      progress.onEvent(id, nowMs);
    };

    /** Writes the response head of the first run, also when that run has no events left to send. */
    const writeHead = () => {
      if (response.headersSent) return;
      const headers = forwardedHeadersOf(answer.headers);
      response.writeHead(answer.statusCode, headers);
      progress.onHead(headers['content-type']?.toString());
    };

    /** Writes events at once: each write of its own that waits for a slow reader takes many times the bytes of an event. */
    const writeEvents = (events: readonly StreamEvent[]) => {
      if (events.length === 0) return;
      control.stopOtherRuns();
      writeHead();
      if (!response.write(Buffer.concat(events.map(({ bytes }) => bytes)))) answer.body.pause();
    };

    /** Records the events up to the first faulty one; returns how many, and the fault. */
    const checkEvents = (events: readonly StreamEvent[]) => {
      const nowMs = clock.monotonicMs();
      for (const [count, event] of events.entries()) {
        const { lastEventId } = progress.read();
        if (!isNext(event, lastEventId)) {
          return { count, fault: `event ${event.id} came after event ${lastEventId}` };
        }
        if (event.bytes.length > maxEventBytes) {
          const name = event.id ?? 'without id';
          return { count, fault: `event ${name} is larger than ${maxEventBytes} bytes` };
        }
        const fault = resumeCheck?.checkEvent(event);
        if (fault !== undefined) return { count, fault };
        recordEvent(event.id, nowMs);
      }
      return { count: events.length, fault: undefined };
    };

    const forwardEvents = (events: readonly StreamEvent[]): string | undefined => {
      const { count, fault } = checkEvents(events);
      writeEvents(events.slice(0, count));
      holding?.resize(splitter.bufferedBytes());
      if (fault !== undefined) return fault;
      return splitter.bufferedBytes() > maxEventBytes
        ? `over ${maxEventBytes} bytes came without an event`
        : undefined;
    };

    /** Returns what has to show that the run is complete. */
    const neededProof = (): EndProof => {
      if (!isCloseDelimited(answer, context.request.method)) return 'framing';
      // Daemons that stop and targets that leave close their listeners before their last streams end.
      return candidate.isDaemon || dependencies.directory.isLeaving(candidate)
        ? 'none'
        : 'listening';
    };

    /** Describes why a run that has ended is not complete, if so. */
    const findEndFault = async (
      cause: Error | undefined,
      comments: Buffer | undefined,
      endProof: EndProof,
    ) => {
      if (cause !== undefined) return errors.describeCause(cause);
      if (comments === undefined) return 'the answer ended in the middle of an event';
      const fault = resumeCheck?.checkComments(comments);
      if (fault !== undefined) return fault;
      if (endProof === 'framing') return undefined;
      if (endProof === 'listening' && !(await dependencies.processCheck.isListening(candidate)))
        return 'the process ended, perhaps before the last event';
      if (control.signal.aborted) return 'another run has delivered first';
      if (context.callerDisconnected.aborted) return 'the caller has disconnected';
      return isFirstOfRun && !control.isOnlyRun()
        ? 'the answer ended without an event, perhaps broken off'
        : undefined;
    };

    const endRun = async (cause: Error | undefined) => {
      if (isSettled) return;
      const comments = splitter.trailingComments();
      const endProof = neededProof();
      const fault = await findEndFault(cause, comments, endProof);
      if (isSettled) return;
      if (fault === undefined) {
        control.stopOtherRuns();
        writeHead();
        if (comments !== undefined && comments.length > 0) response.write(comments);
      }
      settle(fault, endProof);
    };

    response.on('drain', resume);
    answer.body.read({
      onChunks: (chunks) => {
        if (isSettled || control.signal.aborted) return;
        targetTracker.onProgress(candidate.key, clock.monotonicMs());
        const fault = forwardEvents(splitter.feed(Buffer.concat(chunks)));
        if (fault === undefined) return;
        settle(fault);
        answer.body.discard();
      },
      onEnd: (cause) => {
        endRun(cause).catch((error: unknown) => settle(errors.describeCause(error)));
      },
    });
  });

/** Interval between member checks while a stream stays stalled although all members responded. */
const memberRecheckMs = 300;

/** Reports a run whose stream has stalled; returns a function that stops watching. */
const watchForStall = (
  dependencies: RelayDependencies,
  context: RequestContext,
  attempt: StreamAttempt,
  signal: AbortSignal,
): (() => void) => {
  const { candidate, progress } = attempt;
  const { route, response } = context;
  const sentAtMs = dependencies.clock.monotonicMs();
  let checkedAtMs = -Infinity;

  const lastEventAtMs = () => {
    const { lastEventAtMs: atMs } = progress.read();
    return atMs === undefined ? undefined : Math.max(atMs, sentAtMs);
  };

  const reportSilence = (reason: string) => {
    if (signal.aborted) return;
    const silentMs = dependencies.clock.monotonicMs() - (lastEventAtMs() ?? sentAtMs);
    attempt.onSilent({ silentMs, reason });
  };

  const checkMembers = async (groupKey: string, silentMs: number) => {
    const { eventCount } = progress.read();
    const { isLost, endedMembers } = await dependencies.failureReporter.confirmLoss(
      groupKey,
      silentMs,
    );
    if (endedMembers.length > 0) dependencies.crashMonitor.onMembersEnded(candidate, endedMembers);
    if (isLost && progress.read().eventCount === eventCount) reportSilence('a member is silent');
  };

  return dependencies.stallMonitor.add((nowMs) => {
    if (response.writableNeedDrain || signal.aborted) return;
    const targetStats = dependencies.targetTracker.read(candidate.key, nowMs);
    const headSilentSinceMs = targetStats.silentSinceMs ?? sentAtMs;
    const assessment = assessStall({
      nowMs,
      sentAtMs,
      lastEventAtMs: lastEventAtMs(),
      headSilentSinceMs,
      expectedGapMs: targetStats.gapMs ?? candidate.expectedMs,
      targetMs:
        progress.read().eventCount === 0
          ? route.latencyTargetMs
          : (route.gapTargetMs ?? route.latencyTargetMs),
    });
    if (assessment === 'wait') return;
    if (assessment !== 'probe' || candidate.groupKey === undefined) {
      reportSilence(assessment);
      return;
    }
    if (nowMs - checkedAtMs < memberRecheckMs) return;
    checkedAtMs = nowMs;
    const silentSinceMs = Math.max(lastEventAtMs() ?? sentAtMs, headSilentSinceMs);
    void checkMembers(candidate.groupKey, nowMs - silentSinceMs);
  });
};

/** Runs a stream on one target and forwards its events as they arrive. */
export const attemptStream = async (
  dependencies: RelayDependencies,
  context: RequestContext,
  attempt: StreamAttempt,
): Promise<StreamResult> => {
  const { targetTracker, clock } = dependencies;
  const { candidate, progress, control } = attempt;
  const { callerDisconnected, mustEnd } = context;
  const deadline = clocks.createDeadline(context.deadlineAtMs - clock.monotonicMs(), [
    control.signal,
    callerDisconnected,
    mustEnd,
  ]);
  const { signal } = deadline;
  const stopWatching = watchForStall(dependencies, context, attempt, signal);
  const sentAtMs = clock.monotonicMs();
  targetTracker.onSend(candidate.key, sentAtMs);
  const placedRun = dependencies.placing.start(context, candidate, sentAtMs);
  let isComplete = false;

  const fail = (failure: SendFailure): StreamResult => {
    const isUnwanted = callerDisconnected.aborted || control.signal.aborted;
    const excuse = mustEnd.aborted ? 'stop' : failure.excuse;
    if (!isUnwanted && excuse === undefined)
      targetTracker.onFailure(candidate.key, clock.monotonicMs());
    const message = deadline.hasPassed() ? 'the time limit of the request passed' : failure.message;
    return { kind: 'failed', failure: { ...failure, message, excuse } };
  };

  const { eventCount, lastEventId } = progress.read();

  try {
    const sent = await sendToTarget(dependencies, context, {
      candidate,
      resumeAfterEventId: eventCount > 0 ? lastEventId : undefined,
      signal,
      onWrite: attempt.onWrite,
    });
    if (sent.kind === 'failed') return fail(sent.failure);
    const { answer, metadata } = sent.matched;
    if (answer.statusCode !== 200) {
      answer.body.discard();
      const message = `the target answered ${answer.statusCode}`;
      const excuse = excuseOf(metadata);
      return fail({ ran: 'unknown', message, wasRejected: false, wasAnswered: true, excuse });
    }
    const resumeCheck = context.response.headersSent ? createResumeCheck(progress) : undefined;
    const headFault = resumeCheck?.checkHead(answer);
    if (headFault !== undefined) {
      answer.body.discard();
      return fail({ ran: 'unknown', message: headFault, wasRejected: false, wasAnswered: true });
    }
    const { fault, endProof } = await relayEvents(
      dependencies,
      context,
      attempt,
      sent.matched,
      placedRun,
      resumeCheck,
    );
    if (fault !== undefined) {
      const wasBroken = !signal.aborted;
      return fail({ ran: 'unknown', message: fault, wasRejected: false, wasBroken });
    }
    const nowMs = clock.monotonicMs();
    targetTracker.onResponse(candidate.key, nowMs - context.arrivedAtMs, nowMs);
    isComplete = true;
    return {
      kind: 'complete',
      statusCode: answer.statusCode,
      endProof,
    };
  } finally {
    deadline.release();
    stopWatching();
    targetTracker.onEnd(candidate.key);
    // A run that resumed generated only a part of the output.
    placedRun.onEnd(isComplete && eventCount === 0, clock.monotonicMs());
    dependencies.dispatchQueues.onEnd(context);
  }
};
