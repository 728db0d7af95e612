import type * as configuration from '@comfreydrum/configuration';
import type { FabricDomainRecord, GroupRecord } from '../FabricDomainRecord';

/** A planned or loading group, and the rate of the weight store that it needs to load. */
export interface Load {
  readonly groupId: string;
  readonly fabricDomain: string;
  readonly generation: number;
  readonly bytesPerSecond: number;
}

/** The planned and running loads of one team. */
export interface TeamLoads {
  readonly loading: readonly Load[];
  /** The planned groups; those of the model that lacks the largest part of its groups come first. */
  readonly planned: readonly Load[];
}

type Records = ReadonlyMap<string, FabricDomainRecord>;

interface KnownGroup extends GroupRecord {
  readonly groupId: string;
  readonly fabricDomain: string;
}

interface Shortage {
  readonly model: configuration.Model | undefined;
  readonly waiting: readonly KnownGroup[];
  /** Number of groups that are loading, ready or serving. */
  readonly count: number;
}

const countedPhases = new Set<GroupRecord['phase']>(['loading', 'ready', 'serving']);

const groupsOf = (records: Records, team: string): readonly KnownGroup[] =>
  [...records].flatMap(([fabricDomain, { groups }]) =>
    Object.entries(groups)
      .filter(([, group]) => group.team === team)
      .map(([groupId, group]) => ({ ...group, groupId, fabricDomain })),
  );

/**
 * Returns the rate that a group of a model needs from the weight store while it loads, in bytes per
 * second. A model of unknown size takes the whole rate, so that it loads alone.
 */
const requiredBytesPerSecond = (
  model: configuration.Model | undefined,
  storeBytesPerSecond: number,
): number =>
  model?.weightBytes === undefined
    ? storeBytesPerSecond
    : Math.min(storeBytesPerSecond, (model.weightBytes * 1_000) / model.loadTimeMs);

const missingFraction = ({ model, count }: Shortage): number => {
  const wantedCount = model?.groups ?? 0;
  return wantedCount === 0 ? 0 : (wantedCount - count) / wantedCount;
};

const compareShortages = (left: Shortage, right: Shortage): number =>
  missingFraction(right) - missingFraction(left) ||
  (right.model?.value ?? 0) - (left.model?.value ?? 0) ||
  (left.waiting[0]!.groupId < right.waiting[0]!.groupId ? -1 : 1);

/**
 * Returns the waiting groups in load order: takes the next group from the model with the largest
 * shortage, where groups already taken count as present.
 */
const orderByShortage = (shortages: readonly Shortage[]): readonly KnownGroup[] => {
  const ordered: KnownGroup[] = [];
  let remaining = shortages.filter(({ waiting }) => waiting.length > 0);
  while (remaining.length > 0) {
    const [first, ...others] = [...remaining].sort(compareShortages);
    const { waiting, count, model } = first!;
    ordered.push(waiting[0]!);
    const rest = { model, waiting: waiting.slice(1), count: count + 1 };
    remaining = rest.waiting.length > 0 ? [rest, ...others] : others;
  }
  return ordered;
};

/** Returns the loads of a team, in the same order on every daemon that knows the same records. */
export const orderLoads = (records: Records, document: configuration.Configuration): TeamLoads => {
  const groups = [...groupsOf(records, document.team)].sort((left, right) =>
    left.groupId < right.groupId ? -1 : 1,
  );
  const findModel = (name: string) => document.models.find((model) => model.name === name);
  const toLoad = ({ groupId, fabricDomain, generation, modelName }: KnownGroup): Load => ({
    groupId,
    fabricDomain,
    generation,
    bytesPerSecond: requiredBytesPerSecond(
      findModel(modelName),
      document.weightStoreBytesPerSecond ?? Infinity,
    ),
  });
  const shortages = [...new Set(groups.map(({ modelName }) => modelName))].map((name) => {
    const own = groups.filter(({ modelName }) => modelName === name);
    return {
      model: findModel(name),
      waiting: own.filter(({ phase }) => phase === 'planned'),
      count: own.filter(({ phase }) => countedPhases.has(phase)).length,
    };
  });
  return {
    loading: groups.filter(({ phase }) => phase === 'loading').map(toLoad),
    planned: orderByShortage(shortages).map(toLoad),
  };
};
