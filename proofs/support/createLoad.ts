import * as testing from '@comfreydrum/testing';

/** One request of the load and its outcome. */
export interface LoadResult {
  readonly daemonId: string;
  readonly shape: testing.CompletionShape;
  /** The prompt as the model receives it. */
  readonly prompt: string;
  readonly maxTokens: number;
  readonly startedAtMs: number;
  readonly outcome: testing.CompletionOutcome;
}

export interface LoadOptions {
  readonly daemons: () => readonly testing.FleetDaemon[];
  readonly callerCount: number;
  readonly minTokens: number;
  readonly maxTokens: number;
  readonly random: testing.Random;
  readonly customer?: string;
  /** The request shapes to choose from. Defaults to streamed completions. */
  readonly shapes?: readonly testing.CompletionShape[];
}

/** Callers that send one completion request after another until stopped. */
export interface Load {
  readonly results: () => readonly LoadResult[];
  /** Starts no more requests and waits for those in progress. */
  readonly stop: () => Promise<readonly LoadResult[]>;
  readonly inProgress: () => number;
}

const sharedPrefix = 'Draft the holiday rotation of the parenting plan. '.repeat(8);
const pauseAfterRefusalMs = 50;
const streamedCompletion: testing.CompletionShape = { route: 'completions', isStream: true };

const pause = (): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, pauseAfterRefusalMs);
  });

/** Starts callers that use a unique prompt for each request. */
export const createLoad = (options: LoadOptions): Load => {
  const { random, shapes = [streamedCompletion] } = options;
  const results: LoadResult[] = [];
  let isStopped = false;
  let sequence = 0;
  let inProgress = 0;

  const sendRequest = async (caller: number) => {
    sequence += 1;
    const daemon = random.pick(options.daemons());
    const prompt = `${sharedPrefix}Caller ${caller}, request ${sequence}, ${random.integer(0, 1e9)}.`;
    const maxTokens = random.integer(options.minTokens, options.maxTokens);
    const shape = shapes.length === 1 ? shapes[0]! : random.pick(shapes);
    const startedAtMs = Date.now();
    inProgress += 1;
    const outcome = await testing.streamCompletion({
      url: daemon.url,
      token: testing.customerToken(options.customer ?? testing.testNames.customer),
      prompt,
      model: testing.testNames.model,
      maxTokens,
      shape,
    });
    inProgress -= 1;
    results.push({
      daemonId: daemon.instanceId,
      shape,
      prompt: testing.formatModelPrompt(prompt, shape),
      maxTokens,
      startedAtMs,
      outcome,
    });
    if (outcome.end !== 'complete') await pause();
  };

  const runCaller = async (caller: number) => {
    while (!isStopped) await sendRequest(caller);
  };
  const callers = Array.from({ length: options.callerCount }, (_, caller) => runCaller(caller));

  return {
    results: () => results,
    inProgress: () => inProgress,
    stop: async () => {
      isStopped = true;
      await Promise.all(callers);
      return results;
    },
  };
};

/**
 * Returns the errors in the text of one answer. An incomplete answer must be a prefix of the
 * expected text.
 */
export const checkText = ({ prompt, maxTokens, outcome }: LoadResult): readonly string[] => {
  const expected = testing.expectedText(prompt, maxTokens);
  const requestName = `request ${outcome.requestId} (${outcome.end})`;
  const isInOrder = outcome.tokenIndexes.every((index, position) => index === position);
  const violations = isInOrder
    ? []
    : [`${requestName}: token indexes ${outcome.tokenIndexes.join(',')}`];
  if (outcome.end === 'complete' && outcome.text !== expected) {
    return [
      ...violations,
      `${requestName}: got ${outcome.tokenCount} of ${maxTokens} tokens or unexpected text`,
    ];
  }
  if (!expected.startsWith(outcome.text))
    return [...violations, `${requestName}: text of another answer`];
  return violations;
};

/** Counts the results by how they ended. */
export const countEnds = (results: readonly LoadResult[]): Readonly<Record<string, number>> => {
  const counts: Record<string, number> = {};
  results.forEach(({ outcome }) => {
    counts[outcome.end] = (counts[outcome.end] ?? 0) + 1;
  });
  return counts;
};
