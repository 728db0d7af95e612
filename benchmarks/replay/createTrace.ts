import * as routing from '@comfreydrum/routing';

/** A request of a trace. */
export interface TraceRequest {
  readonly id: string;
  readonly atMs: number;
  readonly customer: string;
  readonly priority: 'interactive' | 'batch';
  readonly deadlineMs: number;
  readonly prefixHashes: readonly string[];
  readonly promptTokens: number;
  /** Number of tokens in the response; unknown to the daemon in advance. */
  readonly outputTokens: number;
  /** Largest number of tokens that the caller accepts; all that a daemon knows in advance. */
  readonly maxTokens: number;
  /** Time after which the caller disconnects; undefined if it waits for the whole response. */
  readonly abandonAfterMs?: number;
}

/** Parameters of the traffic in a trace. */
export interface TraceShape {
  readonly name: string;
  /** Returns the request rate as a multiple of the mean; `part` runs from 0 to 1 over the trace. */
  readonly rateAt: (part: number) => number;
  readonly systemPromptCount: number;
  readonly systemBlocks: number;
  /** Number of documents in prompts (cases or manual pages), and the exponent of their Zipf law. */
  readonly documentCount: number;
  readonly documentSkew: number;
  readonly documentBlocks: number;
  /** Fraction of the requests that continue a conversation. */
  readonly followUpFraction: number;
  readonly meanOutputTokens: number;
  readonly batchFraction: number;
  readonly deadlineMs: number;
  readonly abandonFraction: number;
}

export const tokensPerBlock = 128;

const fluctuatingRate = (part: number) => 0.85 + 0.3 * Math.sin(part * 4 * Math.PI) ** 2;

/** Traffic of three nights at Navarra Norte, and of an ordinary day in the Midlands. */
export const traceShapes: readonly TraceShape[] = [
  {
    name: 'navarra-12-march',
    rateAt: (part) => 0.8 + 0.4 * part,
    systemPromptCount: 3,
    systemBlocks: 8,
    documentCount: 400,
    documentSkew: 0.9,
    documentBlocks: 12,
    followUpFraction: 0.5,
    meanOutputTokens: 160,
    batchFraction: 0,
    deadlineMs: 30_000,
    abandonFraction: 0.05,
  },
  {
    name: 'navarra-14-march',
    rateAt: fluctuatingRate,
    systemPromptCount: 4,
    systemBlocks: 10,
    documentCount: 250,
    documentSkew: 0.8,
    documentBlocks: 8,
    followUpFraction: 0.3,
    meanOutputTokens: 120,
    batchFraction: 0.1,
    deadlineMs: 30_000,
    abandonFraction: 0.02,
  },
  {
    name: 'navarra-19-march',
    rateAt: (part) => (part > 0.3 && part < 0.6 ? 1.2 : 0.9),
    systemPromptCount: 2,
    systemBlocks: 8,
    documentCount: 600,
    documentSkew: 0.7,
    documentBlocks: 14,
    followUpFraction: 0.2,
    meanOutputTokens: 200,
    batchFraction: 0.4,
    deadlineMs: 45_000,
    abandonFraction: 0.02,
  },
  {
    name: 'midlands-day',
    rateAt: fluctuatingRate,
    systemPromptCount: 5,
    systemBlocks: 12,
    documentCount: 300,
    documentSkew: 1.1,
    documentBlocks: 10,
    followUpFraction: 0.4,
    meanOutputTokens: 90,
    batchFraction: 0.05,
    deadlineMs: 20_000,
    abandonFraction: 0.03,
  },
];

/** Length, rate and customers of a trace. */
export interface TraceOptions {
  readonly durationMs: number;
  readonly requestsPerSecond: number;
  /** The customers; `part` is the fraction of all requests that a customer sends. */
  readonly customers: readonly { readonly name: string; readonly part: number }[];
}

/** Ten customers; three large ones send three quarters of the requests. */
export const tenCustomers = [
  ...['large-1', 'large-2', 'large-3'].map((name) => ({ name, part: 0.25 })),
  ...[1, 2, 3, 4, 5, 6, 7].map((number) => ({ name: `small-${number}`, part: 0.25 / 7 })),
];

const charactersPerBlock = 8;
const maxConversations = 200;
/** Token limits of callers are multiples of this number. */
const maxTokensStep = 64;
const msPerSecond = 1_000;

/** Creates a text of the given number of blocks; the same name yields the same text. */
const createText = (name: string, blocks: number) =>
  Array.from({ length: blocks }, (_, block) =>
    `${name}.${block}`.padEnd(charactersPerBlock).slice(-charactersPerBlock),
  ).join('');

const exponential = (random: routing.Random, mean: number) =>
  -Math.log(1 - random.fraction()) * mean;

/** Creates a generator of numbers from 0 to `count` - 1 by Zipf's law; 0 is the most frequent. */
const createZipf = (random: routing.Random, count: number, skew: number) => {
  const cumulative: number[] = [];
  let sum = 0;
  for (let rank = 1; rank <= count; rank += 1) {
    sum += 1 / rank ** skew;
    cumulative.push(sum);
  }
  return () => {
    const drawn = random.fraction() * sum;
    return cumulative.findIndex((upperBound) => upperBound > drawn);
  };
};

const drawCustomer = (random: routing.Random, customers: TraceOptions['customers']) => {
  let left = random.fraction();
  return (
    customers.find(({ part }) => {
      left -= part;
      return left < 0;
    }) ?? customers[0]!
  ).name;
};

/** Creates a trace; the same arguments yield the same trace. */
export const createTrace = async (
  shape: TraceShape,
  seed: number,
  options: TraceOptions,
): Promise<readonly TraceRequest[]> => {
  const { durationMs, requestsPerSecond, customers } = options;
  const random = routing.createRandom(seed);
  const hasher = await routing.createPrefixHasher({ blockLength: charactersPerBlock });
  const drawDocument = createZipf(random, shape.documentCount, shape.documentSkew);
  const conversations: string[] = [];

  const startPrompt = () => {
    const document = drawDocument();
    const system = createText(`s${document % shape.systemPromptCount}`, shape.systemBlocks);
    return system + createText(`d${document}`, shape.documentBlocks);
  };

  const drawPrompt = (index: number) => {
    const isFollowUp = conversations.length > 0 && random.fraction() < shape.followUpFraction;
    const prompt = isFollowUp ? conversations[random.index(conversations.length)]! : startPrompt();
    const extended = prompt + createText(`t${index}`, 1 + random.index(3));
    const slot = conversations.length < maxConversations ? conversations.length : undefined;
    conversations[slot ?? random.index(maxConversations)] = extended;
    return extended;
  };

  const requests: TraceRequest[] = [];
  for (let atMs = 0; ;) {
    const rate = (requestsPerSecond / msPerSecond) * shape.rateAt(atMs / durationMs);
    atMs += exponential(random, 1 / rate);
    if (atMs >= durationMs) return requests;
    const prefixHashes = hasher.hashPrefixes(drawPrompt(requests.length));
    const outputTokens = Math.min(
      4 * shape.meanOutputTokens,
      8 + Math.round(exponential(random, shape.meanOutputTokens)),
    );
    const abandons = random.fraction() < shape.abandonFraction;
    requests.push({
      id: `${shape.name}-${requests.length}`,
      atMs,
      customer: drawCustomer(random, customers),
      priority: random.fraction() < shape.batchFraction ? 'batch' : 'interactive',
      deadlineMs: shape.deadlineMs,
      prefixHashes,
      promptTokens: prefixHashes.length * tokensPerBlock + 1 + random.index(tokensPerBlock),
      outputTokens,
      maxTokens: Math.ceil(outputTokens / maxTokensStep) * maxTokensStep,
      ...(abandons ? { abandonAfterMs: 200 + random.index(5_000) } : {}),
    });
  }
};
