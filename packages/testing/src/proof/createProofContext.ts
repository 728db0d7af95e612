import { createRandom } from '../createRandom';
import type { ProofContext } from './ProofReport';

/** Creates the context for a seed; notes go to `write`, prefixed with the time since the start. */
export const createProofContext = (
  seed: number,
  write: (line: string) => void = () => {},
): ProofContext => {
  const startMs = performance.now();
  return {
    seed,
    random: createRandom(seed),
    note: (text) => write(`${Math.round(performance.now() - startMs)} ms: ${text}`),
  };
};
