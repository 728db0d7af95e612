import type { RequestCost } from './predictRequestCost';

/** What the requests of this daemon at one target have left to do. */
export interface RemainingWork {
  readonly requestCount: number;
  /** Time to read the prompts of those that have not produced an event yet. */
  readonly unreadPromptMs: number;
  readonly outputTokens: number;
  readonly memoryTokens: number;
}

/** Tracks the work that the requests of this daemon have left at each target. */
export interface TargetWork {
  readonly onSend: (targetKey: string, runId: number, cost: RequestCost) => void;
  /** Records an event that holds some output tokens. */
  readonly onEvent: (targetKey: string, runId: number, tokens: number) => void;
  readonly onEnd: (targetKey: string, runId: number) => void;
  readonly remainingAt: (targetKey: string) => RemainingWork;
}

interface TrackedRequest {
  readonly cost: RequestCost;
  outputTokens: number;
}

const nothing: RemainingWork = {
  requestCount: 0,
  unreadPromptMs: 0,
  outputTokens: 0,
  memoryTokens: 0,
};

/** Returns the output that a request has left; one that is past its estimate is near its end. */
const outputLeft = ({ cost, outputTokens }: TrackedRequest): number =>
  Math.max(1, cost.outputTokens - outputTokens);

/** Creates a tracker without requests. */
export const createTargetWork = (): TargetWork => {
  const targets = new Map<string, Map<number, TrackedRequest>>();

  return {
    onSend: (targetKey, runId, cost) => {
      const requests = targets.get(targetKey) ?? new Map<number, TrackedRequest>();
      requests.set(runId, { cost, outputTokens: 0 });
      targets.set(targetKey, requests);
    },
    onEvent: (targetKey, runId, tokens) => {
      const request = targets.get(targetKey)?.get(runId);
      if (request !== undefined) request.outputTokens += tokens;
    },
    onEnd: (targetKey, runId) => {
      const requests = targets.get(targetKey);
      requests?.delete(runId);
      if (requests?.size === 0) targets.delete(targetKey);
    },
    remainingAt: (targetKey) => {
      const requests = targets.get(targetKey);
      if (requests === undefined) return nothing;
      return [...requests.values()].reduce<RemainingWork>(
        (sum, request) => ({
          requestCount: sum.requestCount + 1,
          unreadPromptMs:
            sum.unreadPromptMs + (request.outputTokens === 0 ? request.cost.promptMs : 0),
          outputTokens: sum.outputTokens + outputLeft(request),
          memoryTokens: sum.memoryTokens + request.cost.memoryTokens,
        }),
        nothing,
      );
    },
  };
};
