/**
 * A filing whose outcome is unknown is eventually resolved, and never by running it twice. The
 * daemon that claimed it is killed or paused before, during or after sending it. Callers resend it
 * through the other daemons until the target's lookup, the target's deduplication by key, or an
 * operator resolves it. A paused daemon is resumed at the end and must not send anything.
 */
import * as undici from 'undici';
import * as testing from '@comfreydrum/testing';
import {
  attemptFiling,
  findViolations,
  waitUntilFilingsAccepted,
  type Attempt,
} from './support/filings';
import { sleep, withFleet } from './support/withFleet';

const resolutions = ['lookup', 'key-honoured', 'operator'] as const;
type Resolution = (typeof resolutions)[number];

const keyCount = 12;
const resendMs = 400;
const afterResumeMs = 3_000;
const resolveTimeoutMs = 32_000;
const operatorName = 'operator-1';

const fleetOptions = (seed: number, resolution: Resolution): testing.FleetOptions => ({
  seed,
  daemonCount: 3,
  services: { count: 1, latencyMs: 40, honourKey: resolution === 'key-honoured' },
  configuration: testing.createTestConfiguration({
    groups: 0,
    filingDeadlineMs: 2_000,
    honoursIdempotencyKey: resolution === 'key-honoured',
    lookupPath: resolution === 'lookup' ? '/filings/by-key/{key}' : undefined,
  }),
});

/** Submits filings through the first daemon and kills or pauses it while they are in progress. */
const stopClaimant = async (
  fleet: testing.Fleet,
  keys: readonly string[],
  isKilled: boolean,
  random: testing.Random,
): Promise<readonly Attempt[]> => {
  const claimant = fleet.daemons[0]!;
  const submissions = keys.map(async (key) => {
    await sleep(random.integer(0, 250));
    return attemptFiling(claimant.directUrl, key);
  });
  await sleep(random.integer(20, 250));
  if (isKilled) await claimant.process().kill();
  else claimant.process().pause();
  return Promise.all(submissions);
};

interface UnknownClaim {
  readonly claimId: string;
  readonly subject: { readonly key: string };
}

/**
 * Resolves each unknown claim by the service's list of runs, as an operator would. Returns how many
 * were resolved.
 */
const resolveUnknowns = async (fleet: testing.Fleet): Promise<number> => {
  const { adminUrl, read } = fleet.daemons[1]!;
  const unknown = (await read('v1/ledger/unknown')) as readonly UnknownClaim[];
  if (!Array.isArray(unknown)) return 0;
  const ran = new Set((await fleet.services[0]!.runs()).map(({ key }) => key));
  const resolve = async ({ claimId, subject }: UnknownClaim) => {
    const outcome = ran.has(subject.key) ? 'ran' : 'not-run';
    const { statusCode, body } = await undici.request(`${adminUrl}/v1/ledger/resolve`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${testing.operatorToken}`,
        'content-type': 'application/json',
      },
      body: JSON.stringify({ claimId, outcome, who: operatorName }),
    });
    await body.dump();
    return statusCode === 200;
  };
  const resolved = await Promise.all(unknown.map(resolve));
  return resolved.filter(Boolean).length;
};

/**
 * Resends unresolved filings through the other daemons until all have run or the time limit is
 * reached.
 */
const resendUntilResolved = async (
  fleet: testing.Fleet,
  keys: readonly string[],
  resolution: Resolution,
  random: testing.Random,
) => {
  const others = fleet.daemons.slice(1);
  const attempts: Attempt[] = [];
  const startedAtMs = performance.now();
  let unresolvedKeys = keys;
  let resolvedCount = 0;
  while (unresolvedKeys.length > 0 && performance.now() - startedAtMs < resolveTimeoutMs) {
    if (resolution === 'operator') resolvedCount += await resolveUnknowns(fleet);
    const sent = unresolvedKeys.map((key) => attemptFiling(random.pick(others).directUrl, key));
    const answers = await Promise.all(sent);
    attempts.push(...answers);
    unresolvedKeys = answers.filter(({ ran }) => ran !== 'ran').map(({ key }) => key);
    await sleep(resendMs);
  }
  const durationMs = Math.round(performance.now() - startedAtMs);
  return { attempts, unresolvedKeys, resolvedCount, durationMs };
};

/** Checks that unknown outcomes are resolved without a second run. */
export const prove: testing.Proof = async ({ seed, random, note }) => {
  const resolution = resolutions[seed % resolutions.length]!;
  const isKilled = random.fraction() < 0.5;
  return withFleet(fleetOptions(seed, resolution), async (fleet) => {
    await waitUntilFilingsAccepted(fleet);
    const keys = Array.from({ length: keyCount }, (_, index) => `filing-${index}`);
    const fault = random.pick(['hangBefore', 'hangAfter', 'none'] as const);
    if (fault !== 'none') await fleet.services[0]!.setFaults({ [fault]: random.integer(1, 4) });
    note(`${isKilled ? 'kill' : 'pause'}, service ${fault}, resolved by ${resolution}`);
    const first = await stopClaimant(fleet, keys, isKilled, random);
    const resent = await resendUntilResolved(fleet, keys, resolution, random);
    note(`resent for ${resent.durationMs} ms`);
    if (!isKilled) fleet.daemons[0]!.process().resume();
    await sleep(afterResumeMs);
    const attempts = [...first, ...resent.attempts];
    const runs = await fleet.services[0]!.runs();
    return {
      violations: [
        ...findViolations(attempts, runs),
        ...resent.unresolvedKeys.map(
          (key) => `${key} is not resolved after ${resent.durationMs} ms`,
        ),
      ],
      figures: {
        resent: resent.attempts.length,
        toldUnknown: attempts.filter(({ ran }) => ran === 'unknown').length,
        resolvedByOperator: resent.resolvedCount,
        settledMs: resent.durationMs,
      },
    };
  });
};
