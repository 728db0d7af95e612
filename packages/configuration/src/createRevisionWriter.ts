import type * as clock from '@comfreydrum/clock';
import * as errors from '@comfreydrum/errors';
import type * as objectStore from '@comfreydrum/object-store';
import { checkConfiguration } from './checkConfiguration';
import type { ApplyOptions, ApplyResult, ExpectedRevision } from './ConfigurationStore';
import type { Configuration } from './configurationSchema';
import { digestInput } from './createRevisionTable';
import { storedRevisionSchema, type TeamRevision } from './TeamRevision';

/** The kind of the platform objects that store the configurations, one object per team. */
export const configurationKind = 'configuration';

/** The dependencies of a revision writer. */
export interface RevisionWriterDependencies {
  readonly client: objectStore.PlatformClient;
  readonly clock: clock.Clock;
  readonly hash: (text: string) => string;
  readonly createId: () => string;
  readonly sleep: (durationMs: number) => Promise<void>;
  readonly random: () => number;
  /** Returns the highest revision of a team that this instance has seen. */
  readonly knownRevision: (team: string) => number;
  readonly onAccepted: (revision: TeamRevision) => void;
}

/** The stored revision that a change replaces. */
interface BaseRevision {
  readonly revision: number;
  readonly document: Configuration | null;
  readonly applyIds: readonly string[];
  readonly condition: objectStore.WriteCondition;
}

interface Change {
  readonly team: string;
  readonly document: Configuration | null;
  readonly applyId: string;
}

type BaseRevisionResult = errors.Result<BaseRevision, objectStore.PlatformFailure>;

const confirmTimeoutMs = 20_000;
const firstRetryMs = 100;
const maxRetryMs = 2_000;
const retryAfterMs = 5_000;
const maxApplyIds = 64;

const unavailable = (written: 'no' | 'unknown', cause: errors.Failure): ApplyResult => ({
  kind: 'unavailable',
  written,
  retryAfterMs,
  message:
    written === 'no'
      ? `nothing was applied: ${cause.message}`
      : `whether the apply took effect is unknown, read the revision later: ${cause.message}`,
});

/** Creates a writer that stores each change of a team's configuration as its next revision. */
export const createRevisionWriter = (dependencies: RevisionWriterDependencies) => {
  const { client, hash } = dependencies;

  const readBase = async (team: string): Promise<BaseRevisionResult> => {
    const key = { kind: configurationKind, name: team };
    const found = await client.get(key, 'safety');
    if (!found.ok && found.error.kind === 'not-found') {
      return errors.ok({ revision: 0, document: null, applyIds: [], condition: 'absent' });
    }
    if (!found.ok) return found;
    const checked = storedRevisionSchema.safeParse(found.value.value);
    const condition = { version: found.value.version };
    if (checked.success) return errors.ok({ ...checked.data, condition });
    return errors.err<objectStore.PlatformFailure>({
      kind: 'refused',
      step: 'read configuration',
      peer: `${configurationKind}/${team}`,
      message: `platform object ${configurationKind}/${team} is not a configuration`,
    });
  };

  const write = (change: Change, base: BaseRevision, revision: number) =>
    client.put(
      { kind: configurationKind, name: change.team },
      {
        revision,
        digest: hash(digestInput(change.document)),
        document: change.document,
        applyIds: [...base.applyIds, change.applyId].slice(-maxApplyIds),
      },
      base.condition,
      'safety',
    );

  const accept = (change: Change, revision: number): ApplyResult => {
    const { team, document } = change;
    dependencies.onAccepted({ team, revision, document, digest: hash(digestInput(document)) });
    return { kind: 'accepted', team, revision };
  };

  /**
   * Writes the change, retrying for up to `confirmTimeoutMs`. Gives up at once if the platform is
   * unreachable and no earlier write can have taken effect. After a conflict or an ambiguous result,
   * reads the object back to find out whether the write took effect. An unchanged revision does not show
   * that it failed, since the write may still arrive late, so the change is written again under the same
   * condition. If an ambiguous result is not resolved in time, `written` is `unknown`.
   */
  const writeAndConfirm = async (
    change: Change,
    base: BaseRevision,
    revision: number,
  ): Promise<ApplyResult> => {
    const deadlineAtMs = dependencies.clock.monotonicMs() + confirmTimeoutMs;
    let mayHaveTakenEffect = false;
    for (let attempt = 0; ; attempt += 1) {
      const written = await write(change, base, revision);
      if (written.ok) return accept(change, revision);
      const { kind, message } = written.error;
      if (kind === 'too-large') return { kind: 'invalid', message };
      if (kind === 'ambiguous') mayHaveTakenEffect = true;
      if (kind === 'conflict' || kind === 'ambiguous' || mayHaveTakenEffect) {
        const current = await readBase(change.team);
        if (current.ok && current.value.applyIds.includes(change.applyId)) {
          return accept(change, revision);
        }
        const isUnchanged = current.ok && current.value.revision === base.revision;
        if (current.ok && !isUnchanged) {
          return { kind: 'conflict', team: change.team, winnerRevision: current.value.revision };
        }
      }
      const isUnreachable = kind === 'unreachable' && !mayHaveTakenEffect;
      if (isUnreachable || dependencies.clock.monotonicMs() >= deadlineAtMs) {
        return unavailable(mayHaveTakenEffect ? 'unknown' : 'no', written.error);
      }
      const maxDelayMs = Math.min(maxRetryMs, firstRetryMs * 2 ** attempt);
      await dependencies.sleep(maxDelayMs * dependencies.random());
    }
  };

  const applyChange = async (
    change: Change,
    expectedRevision: ExpectedRevision,
    { dryRun = false }: ApplyOptions,
  ): Promise<ApplyResult> => {
    const base = await readBase(change.team);
    if (!base.ok) return unavailable('no', base.error);
    const { document } = base.value;
    const matches =
      expectedRevision === 'none' ? document === null : expectedRevision === base.value.revision;
    if (!matches) {
      return { kind: 'conflict', team: change.team, winnerRevision: base.value.revision };
    }
    // A platform restored from a backup has a lower revision than the instances, which would then
    // ignore the next revision; so the next one is higher than both.
    const knownRevision = dependencies.knownRevision(change.team);
    const revision = Math.max(base.value.revision, knownRevision) + 1;
    if (dryRun) {
      return { kind: 'checked', team: change.team, revision, current: document ?? undefined };
    }
    return writeAndConfirm(change, base.value, revision);
  };

  return {
    apply: async (
      document: unknown,
      expectedRevision: ExpectedRevision,
      options: ApplyOptions = {},
    ): Promise<ApplyResult> => {
      const checked = checkConfiguration(document, 'configuration');
      if (!checked.ok) return { kind: 'invalid', message: checked.error.message };
      const { team } = checked.value;
      const change = { team, document: checked.value, applyId: dependencies.createId() };
      return applyChange(change, expectedRevision, options);
    },
    remove: (team: string, expectedRevision: ExpectedRevision): Promise<ApplyResult> =>
      applyChange({ team, document: null, applyId: dependencies.createId() }, expectedRevision, {}),
  };
};
