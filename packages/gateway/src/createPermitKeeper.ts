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

/** Asks for the permits of suspects, and keeps them for the fleet while this daemon is first. */
export interface PermitKeeper {
  /** Sees who keeps the permits now; call it about each second. */
  readonly watch: () => void;
  readonly ask: (question: PermitQuestion) => Promise<PermitAnswer>;
  readonly renew: (requestId: string) => void;
  readonly freeTarget: (requestId: string) => void;
  readonly release: (requestId: string) => void;
  /** Tells whether a run of this daemon has a permit. */
  readonly holds: (requestId: string) => boolean;
  /** Gives the suspects that were running on a lost target with a permit of this keeper. */
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

/** Creates the keeper of a daemon that is not the keeper yet. */
export const createPermitKeeper = (
  link: FleetLink,
  daemonClock: clock.Clock,
  quarantine: routing.Quarantine,
): PermitKeeper => {
  const nowMs = () => daemonClock.monotonicMs();
  const permits = routing.createSuspectPermits(nowMs());
  /** The runs of this daemon that have a permit. */
  const held = new Set<string>();
  // A daemon that starts may be the keeper; the permits it grants wait for those of a former one.
  let wasKeeper = true;

  const keeperId = () => link.liveIds()[0] ?? link.selfId;

  const isKeeper = () => {
    const is = keeperId() === link.selfId;
    if (is && !wasKeeper) permits.takeOver(nowMs());
    wasKeeper = is;
    return is;
  };

  const decide = (question: PermitQuestion): PermitAnswer => {
    question.losses.forEach((loss) => quarantine.onUpdate(loss, nowMs()));
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
