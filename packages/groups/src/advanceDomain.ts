import { createDomainDraft, type DomainDraft, type NewMember } from './createDomainDraft';
import {
  loadedVersionKey,
  membersOf,
  type FabricDomainRecord,
  type GroupPhase,
  type GroupRecord,
} from './FabricDomainRecord';
import { evaluateGroup, type ObservationLookup } from './evaluateGroup';
import type { PlacementAction } from './placement/PlacementPolicy';

/** The settings with which groups of a model are created. */
export interface ModelPlan {
  readonly team: string;
  readonly modelName: string;
  readonly modelVersion: string;
  readonly adapters: readonly string[];
  readonly targetKind: string;
  readonly maxConcurrent: number;
  readonly loadTimeMs: number;
}

/** The inputs from which the next record of a fabric domain is computed. */
export interface DomainView {
  readonly fabricDomain: string;
  readonly nowMs: number;
  readonly record: FabricDomainRecord;
  readonly observe: ObservationLookup;
  readonly actions: readonly PlacementAction[];
  readonly instances: ReadonlyMap<string, NewMember>;
  readonly models: ReadonlyMap<string, ModelPlan>;
  /** When this controller first saw the group in its current phase and generation. */
  readonly phaseSinceMs: (groupId: string) => number;
  /** Whether a watcher found every member of the group present within the evidence window. */
  readonly hasFreshEvidence: (groupId: string) => boolean;
  /** Whether the group's leader reports no running or waiting requests. */
  readonly isIdle: (groupId: string) => boolean;
  /** Whether orders may be sent to targets of this kind now. */
  readonly mayOrder: (targetKind: string) => boolean;
  /** Whether the weight store has a free load slot for a planned group. */
  readonly mayLoad: (groupId: string) => boolean;
  readonly drainTimeoutMs: number;
}

/** The longest time until every daemon knows that a group is draining. */
const drainPropagationMs = 3_000;
const goneConfirmationMs = 300;
const loadTimeoutFactor = 4;
const minLoadTimeoutMs = 30_000;

const setPhase = (draft: DomainDraft, groupId: string, phase: GroupPhase) => {
  const group = draft.group(groupId);
  if (group) draft.setGroup(groupId, { ...group, phase });
};

/** Returns the instances with the given ids, or undefined if any is unknown. */
const findInstances = (view: DomainView, instanceIds: readonly string[]) => {
  const found = instanceIds.map((instanceId) => view.instances.get(instanceId));
  return found.every((instance) => instance !== undefined) ? found : undefined;
};

const formGroup = (
  draft: DomainDraft,
  view: DomainView,
  action: Extract<PlacementAction, { kind: 'form' }>,
  index: number,
) => {
  const plan = view.models.get(action.modelKey);
  const instances = findInstances(view, action.instanceIds);
  if (!plan || !instances) return;
  const groupId = `${view.fabricDomain}.${draft.generation}.${index}`;
  if (!draft.assign(groupId, instances)) return;
  const { loadTimeMs, ...fields } = plan;
  draft.setGroup(groupId, { ...fields, phase: 'planned', generation: draft.generation });
};

const replaceMembers = (
  draft: DomainDraft,
  view: DomainView,
  { groupId, instanceIds }: Extract<PlacementAction, { kind: 'repair' }>,
) => {
  const group = draft.group(groupId);
  const instances = findInstances(view, instanceIds);
  if (!group || !instances || !draft.assign(groupId, instances)) return;
  draft.setGroup(groupId, { ...group, phase: 'planned', generation: draft.generation });
};

const applyAction = (
  draft: DomainDraft,
  view: DomainView,
  action: PlacementAction,
  index: number,
) => {
  if (action.fabricDomain !== view.fabricDomain) return;
  switch (action.kind) {
    case 'form':
      formGroup(draft, view, action, index);
      break;
    case 'repair':
      replaceMembers(draft, view, action);
      break;
    case 'release':
      draft.remove(action.groupId);
      break;
    case 'drain':
      setPhase(draft, action.groupId, 'draining');
      break;
    default:
  }
};

const isCurrentVersion = (view: DomainView, group: GroupRecord) => {
  const plan = view.models.get(`${group.team}/${group.modelName}`);
  return plan !== undefined && loadedVersionKey(plan) === loadedVersionKey(group);
};

const loadTimeoutMs = (view: DomainView, group: GroupRecord) => {
  const loadTimeMs = view.models.get(`${group.team}/${group.modelName}`)?.loadTimeMs ?? 0;
  return Math.max(minLoadTimeoutMs, loadTimeMs * loadTimeoutFactor);
};

/** Records the boot id with which each member loaded, so that a restarted member is detected. */
const recordBootIds = (draft: DomainDraft, view: DomainView, groupId: string) => {
  membersOf(view.record, groupId).forEach(({ instanceId }) => {
    const bootId = view.observe(instanceId)?.response?.bootId;
    if (bootId !== undefined) draft.setBootId(instanceId, bootId);
  });
};

const advanceLoading = (
  draft: DomainDraft,
  view: DomainView,
  groupId: string,
  group: GroupRecord,
) => {
  const presence = evaluateGroup(view.record, groupId, view.observe, view.nowMs);
  if (presence.kind === 'complete') {
    recordBootIds(draft, view, groupId);
    setPhase(draft, groupId, 'ready');
    return;
  }
  const isGone =
    presence.kind === 'lost' &&
    (presence.reason === 'gone' || presence.reason === 'silent') &&
    view.nowMs - presence.lostAtMs >= goneConfirmationMs;
  const isLate = view.nowMs - view.phaseSinceMs(groupId) > loadTimeoutMs(view, group);
  if (isGone || isLate) setPhase(draft, groupId, 'broken');
};

const advanceServing = (draft: DomainDraft, view: DomainView, groupId: string) => {
  const presence = evaluateGroup(view.record, groupId, view.observe, view.nowMs);
  if (presence.kind !== 'lost') return;
  const { reason, lostAtMs } = presence;
  const isUnconfirmed =
    (reason === 'gone' && view.nowMs - lostAtMs < goneConfirmationMs) ||
    ((reason === 'gone' || reason === 'silent') && view.hasFreshEvidence(groupId));
  if (isUnconfirmed) return;
  setPhase(draft, groupId, reason === 'leaving' ? 'draining' : 'broken');
};

const advanceBroken = (draft: DomainDraft, view: DomainView, groupId: string) => {
  const isLoaded = membersOf(view.record, groupId).every(({ bootId }) => bootId !== undefined);
  if (!isLoaded) return;
  const presence = evaluateGroup(view.record, groupId, view.observe, view.nowMs);
  if (presence.kind === 'complete') setPhase(draft, groupId, 'serving');
};

const advanceDraining = (
  draft: DomainDraft,
  view: DomainView,
  groupId: string,
  group: GroupRecord,
) => {
  const drainedMs = view.nowMs - view.phaseSinceMs(groupId);
  const presence = evaluateGroup(view.record, groupId, view.observe, view.nowMs);
  const isLost = presence.kind === 'lost' && presence.reason !== 'leaving';
  const isDone = drainedMs >= drainPropagationMs && view.isIdle(groupId);
  if (!isLost && !isDone && drainedMs < view.drainTimeoutMs) return;
  if (isCurrentVersion(view, group) && presence.kind === 'lost') setPhase(draft, groupId, 'broken');
  else draft.remove(groupId);
};

const advanceGroup = (
  draft: DomainDraft,
  view: DomainView,
  groupId: string,
  group: GroupRecord,
) => {
  switch (group.phase) {
    case 'planned':
      if (view.mayOrder(group.targetKind) && view.mayLoad(groupId)) {
        draft.setGroup(groupId, { ...group, phase: 'loading', generation: draft.generation });
      }
      break;
    case 'loading':
      advanceLoading(draft, view, groupId, group);
      break;
    case 'ready':
      setPhase(draft, groupId, 'serving');
      break;
    case 'serving':
      advanceServing(draft, view, groupId);
      break;
    case 'broken':
      advanceBroken(draft, view, groupId);
      break;
    case 'draining':
      advanceDraining(draft, view, groupId, group);
      break;
    default:
  }
};

/**
 * Returns the next record of a fabric domain, or undefined if nothing changes.
 *
 * Every change increments the generation of the record. A group adopts the new generation whenever
 * its members must receive new orders.
 */
export const advanceDomain = (view: DomainView): FabricDomainRecord | undefined => {
  const { record } = view;
  const draft = createDomainDraft(record);
  view.actions.forEach((action, index) => applyAction(draft, view, action, index));
  Object.entries(record.groups)
    .filter(([groupId, group]) => draft.group(groupId) === group)
    .forEach(([groupId, group]) => advanceGroup(draft, view, groupId, group));
  return draft.finish();
};
