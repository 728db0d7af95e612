import * as routing from '@comfreydrum/routing';
import type * as clock from '@comfreydrum/clock';
import type { FleetLink } from './FleetLink';
import {
  readPermitAnswer,
  readPermitQuestion,
  readRequestId,
  type PermitAnswer,
  type PermitQuestion,
} from './quarantineMessages';

/**
 * Requests the permits that suspect requests need to run. The first live daemon is the coordinator, which
 * grants the permits of the whole fleet.
 */
export interface PermitKeeper {
  /** Checks whether this daemon is the coordinator; call it about once a second. */
  readonly watch: () => void;
  readonly ask: (question: PermitQuestion) => Promise<PermitAnswer>;
  readonly renew: (requestId: string) => void;
  readonly freeTarget: (requestId: string) => void;
  readonly release: (requestId: string) => void;
  /** Reports whether a run of this daemon holds a permit. */
  readonly holds: (requestId: string) => boolean;
  /** Returns the suspects that this coordinator permitted on a lost target, and ends their permits. */
  readonly onTargetLost: (target: routing.CrashTarget) => readonly string[];
}

const callTimeoutMs = 500;
const retryAfterMs = 100;
const methods = {
  ask: 'quarantine/permit',
  renew: 'quarantine/renew',
  freeTarget: 'quarantine/free-target',
  release: 'quarantine/release',
} as const;

/** Creates the permit coordinator of a daemon that starts. */
export const createPermitKeeper = (
  link: FleetLink,
  daemonClock: clock.Clock,
  quarantine: routing.Quarantine,
): PermitKeeper => {
  const nowMs = () => daemonClock.monotonicMs();
  const permits = routing.createSuspectPermits(nowMs());
  /** The runs of this daemon that hold a permit. */
  const held = new Set<string>();
  // A daemon may be the coordinator from its start. It grants nothing until the permits of an earlier
  // coordinator have expired, which createSuspectPermits ensures.
  let wasKeeper = true;

  const keeperId = () => link.liveIds()[0] ?? link.selfId;

  const isKeeper = () => {
    const is = keeperId() === link.selfId;
    if (is && !wasKeeper) permits.takeOver(nowMs());
    wasKeeper = is;
    return is;
  };

  const decide = (question: PermitQuestion): PermitAnswer => {
    question.losses.forEach((loss) => quarantine.onNews(loss, nowMs()));
    const { fingerprint } = question;
    if (quarantine.check(fingerprint, nowMs()).kind === 'quarantined') {
      return { kind: 'quarantined', losses: quarantine.lossesOf(fingerprint, nowMs()) };
    }
    if (!isKeeper()) return { kind: 'wait', retryAfterMs, busy: 'handover' };
    return permits.acquire(question, nowMs());
  };

  const tell = (method: string, requestId: string, act: (requestId: string) => void) => {
    if (!held.has(requestId)) return;
    if (isKeeper()) act(requestId);
    else void link.call(keeperId(), method, requestId, callTimeoutMs);
  };

  const askKeeper = async (question: PermitQuestion): Promise<PermitAnswer> => {
    if (isKeeper()) return decide(question);
    const answer = await link.call(keeperId(), methods.ask, question, callTimeoutMs);
    return readPermitAnswer(answer) ?? { kind: 'wait', retryAfterMs, busy: 'handover' };
  };

  const renew = (requestId: string) => permits.renew(requestId, nowMs());
  link.handle(methods.ask, (params) => decide(readPermitQuestion(params)));
  link.handle(methods.renew, (params) => renew(readRequestId(params)));
  link.handle(methods.freeTarget, (params) => permits.freeTarget(readRequestId(params)));
  link.handle(methods.release, (params) => permits.release(readRequestId(params)));

  return {
    watch: () => {
      isKeeper();
    },
    ask: async (question) => {
      const answer = await askKeeper(question);
      if (answer.kind === 'granted') held.add(question.requestId);
      return answer;
    },
    renew: (requestId) => tell(methods.renew, requestId, renew),
    freeTarget: (requestId) => tell(methods.freeTarget, requestId, permits.freeTarget),
    release: (requestId) => {
      tell(methods.release, requestId, permits.release);
      held.delete(requestId);
    },
    holds: (requestId) => held.has(requestId),
    onTargetLost: permits.onTargetLost,
  };
};
