/** A model to place, with the number and size of its groups. */
export interface PlacementModel {
  /** Team and model name; unique in the fleet. */
  readonly modelKey: string;
  readonly version: string;
  readonly targetKind: string;
  readonly groupCount: number;
  readonly instancesPerGroup: number;
  /** Failure domains in which its groups may run; empty allows all. */
  readonly failureDomains: readonly string[];
  readonly value: number;
  readonly loadTimeMs: number;
  readonly downtimeWeight: number;
  readonly strandedWeight: number;
}

/** The view of an instance that a placement policy decides on. */
export interface PlacementInstance {
  readonly instanceId: string;
  readonly targetKind: string;
  readonly fabricDomain: string;
  readonly failureDomain: string;
  readonly acceleratorCount: number;
  readonly state: 'present' | 'absent' | 'leaving';
  /** When it became absent; undefined unless `state` is `absent`. */
  readonly absentSinceMs?: number | undefined;
  /** Number of times it recently became absent. */
  readonly recentAbsences: number;
}

/** The view of a group that a placement policy decides on. */
export interface PlacementGroup {
  readonly groupId: string;
  readonly modelKey: string;
  readonly version: string;
  readonly fabricDomain: string;
  readonly phase: 'planned' | 'loading' | 'ready' | 'serving' | 'broken' | 'draining';
  readonly memberIds: readonly string[];
}

/** The complete input of a placement decision. */
export interface PlacementState {
  readonly nowMs: number;
  readonly models: readonly PlacementModel[];
  readonly instances: readonly PlacementInstance[];
  readonly groups: readonly PlacementGroup[];
}

/** A change to the groups or to their members. */
export type PlacementAction =
  | {
      readonly kind: 'form';
      readonly modelKey: string;
      readonly fabricDomain: string;
      readonly instanceIds: readonly string[];
    }
  | {
      readonly kind: 'repair';
      readonly groupId: string;
      readonly fabricDomain: string;
      /** All members after the repair; members that stay keep their rank. */
      readonly instanceIds: readonly string[];
    }
  | { readonly kind: 'drain'; readonly groupId: string; readonly fabricDomain: string }
  | { readonly kind: 'release'; readonly groupId: string; readonly fabricDomain: string };

/** A strategy for assigning instances to groups; its decisions depend on the given state alone. */
export interface PlacementPolicy {
  readonly name: string;
  /**
   * Interval between decisions while a group is broken; infinite when decisions don't change with
   * time alone.
   */
  readonly reconsiderMs: number;
  readonly decide: (state: PlacementState) => readonly PlacementAction[];
}
