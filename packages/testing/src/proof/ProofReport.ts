import type { Random } from '../createRandom';

/** Inputs of a proof run. */
export interface ProofContext {
  readonly seed: number;
  /** Random generator seeded with `seed`. */
  readonly random: Random;
  /** Logs a step of the proof, which helps to diagnose a failed run. */
  readonly note: (text: string) => void;
}

/** The result of a proof, which passes when there are no violations. */
export interface ProofReport {
  readonly violations: readonly string[];
  /** Measurements of the run; each name ends with its unit. */
  readonly figures: Readonly<Record<string, number>>;
}

/** A fault-injection test: makes real processes fail and checks that a guarantee holds. */
export type Proof = (context: ProofContext) => Promise<ProofReport>;
