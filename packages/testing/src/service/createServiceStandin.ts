import { createHash, randomUUID } from 'node:crypto';
import * as zod from 'zod';
import { createHttpStandin } from '../http/createHttpStandin';
import type { Standin, StandinCall, StandinRoute } from '../http/createHttpStandin';
import { sendJson } from '../http/sendJson';
import { createRunLog } from './createRunLog';
import type { FilingRun } from './createRunLog';

/** Options of the service stand-in. */
export interface ServiceStandinOptions {
  readonly listen?: string | undefined;
  readonly instanceId?: string | undefined;
  /** Delay between a request and its run, and again between the run and the response. */
  readonly latencyMs?: number | undefined;
  /** Whether a repeated key returns the first result again instead of running the request. */
  readonly honourKey?: boolean | undefined;
  /** File to which runs are appended, so that they survive the process. */
  readonly recordFile?: string | undefined;
  /** Text that makes the service crash in the id of a case, or in a filing once it has run. */
  readonly crashOn?: string | undefined;
  /** Called instead of exiting the process at a crash. */
  readonly onCrash?: (() => void) | undefined;
}

/** Faults of the next filings; each field except `latencyMs` is a count. */
export interface ServiceFaults {
  readonly crashBefore: number;
  readonly crashAfter: number;
  readonly hangBefore: number;
  readonly hangAfter: number;
  readonly latencyMs: number;
}

/** The service stand-in, with its controls for tests in the same process. */
export interface ServiceStandin extends Standin {
  readonly runs: () => readonly FilingRun[];
  /** Reports the instance as leaving from now on; it still serves requests. */
  readonly leave: () => void;
  readonly setFaults: (faults: Partial<ServiceFaults>) => void;
}

/** One case lookup that an instance answered. */
export interface CaseLookup {
  readonly caseId: string;
  readonly requestId: string;
  readonly atMs: number;
}

const maxRetainedLookups = 100_000;

const faultsSchema = zod
  .object({
    crashBefore: zod.number(),
    crashAfter: zod.number(),
    hangBefore: zod.number(),
    hangAfter: zod.number(),
    latencyMs: zod.number(),
  })
  .partial();

const readHeader = ({ request }: StandinCall, name: string): string =>
  String(request.headers[name] ?? '');

/** Creates a stand-in for a service without a model, whose filings are not idempotent. */
export const createServiceStandin = (options: ServiceStandinOptions = {}): ServiceStandin => {
  const instanceId = options.instanceId ?? randomUUID();
  const bootId = randomUUID();
  const onCrash = options.onCrash ?? (() => process.exit(70));
  const runLog = createRunLog(options.recordFile);
  let faults: ServiceFaults = {
    crashBefore: 0,
    crashAfter: 0,
    hangBefore: 0,
    hangAfter: 0,
    latencyMs: options.latencyMs ?? 0,
  };

  const setFaults = (changes: Partial<ServiceFaults>) => {
    faults = { ...faults, ...changes };
  };

  const consumeFault = (
    fault: 'crashBefore' | 'crashAfter' | 'hangBefore' | 'hangAfter',
  ): boolean => {
    if (faults[fault] <= 0) return false;
    setFaults({ [fault]: faults[fault] - 1 });
    return true;
  };

  const applyLatency = async () => {
    if (faults.latencyMs === 0) return;
    await new Promise((resolve) => {
      setTimeout(resolve, faults.latencyMs);
    });
  };

  const run = (call: StandinCall): FilingRun => {
    const filing: FilingRun = {
      filingId: randomUUID(),
      key: readHeader(call, 'idempotency-key'),
      caller: readHeader(call, 'x-caller') || readHeader(call, 'x-customer'),
      requestId: readHeader(call, 'x-request-id'),
      instanceId,
      bodyDigest: createHash('sha256')
        .update(JSON.stringify(call.body) ?? '')
        .digest('hex'),
      atMs: Date.now(),
    };
    runLog.append(filing);
    return filing;
  };

  const lookups: CaseLookup[] = [];

  const triggersCrash = (content: string): boolean =>
    options.crashOn !== undefined && content.includes(options.crashOn);

  const createFiling = async (call: StandinCall) => {
    await applyLatency();
    if (consumeFault('crashBefore')) return onCrash();
    if (consumeFault('hangBefore')) return undefined;
    const key = readHeader(call, 'idempotency-key');
    const previous = options.honourKey && key !== '' ? runLog.findByKey(key) : undefined;
    const filing = previous ?? run(call);
    if (consumeFault('crashAfter') || triggersCrash(JSON.stringify(call.body) ?? ''))
      return onCrash();
    if (consumeFault('hangAfter')) return undefined;
    await applyLatency();
    return sendJson(call.response, previous ? 200 : 201, filing);
  };

  const findFiling = async (call: StandinCall) => {
    await applyLatency();
    const found = runLog.findByKey(call.parameters.key!);
    sendJson(call.response, found ? 200 : 404, found ?? { error: { message: 'no such filing' } });
  };

  const findCase = async (call: StandinCall) => {
    await applyLatency();
    const caseId = call.parameters.caseId!;
    if (triggersCrash(caseId)) {
      onCrash();
      return;
    }
    lookups.push({ caseId, requestId: readHeader(call, 'x-request-id'), atMs: Date.now() });
    if (lookups.length > maxRetainedLookups) lookups.shift();
    sendJson(call.response, 200, {
      caseId,
      status: 'open',
      requestId: readHeader(call, 'x-request-id'),
    });
  };

  const controlFaults = ({ response, body }: StandinCall) => {
    const parsed = faultsSchema.safeParse(body);
    if (parsed.success) setFaults(parsed.data);
    sendJson(response, parsed.success ? 200 : 400, parsed.success ? faults : parsed.error);
  };

  const presence = {
    instanceId,
    bootId,
    groupId: '',
    generation: 0,
    phase: 'ready',
    model: '',
    version: '',
  };

  let isLeaving = false;
  const routes: readonly StandinRoute[] = [
    { method: 'POST', path: '/filings', handle: createFiling },
    { method: 'GET', path: '/filings/by-key/:key', handle: findFiling },
    { method: 'GET', path: '/cases/:caseId', handle: findCase },
    {
      method: 'GET',
      path: '/presence',
      handle: ({ response }) => sendJson(response, 200, { ...presence, leaving: isLeaving }),
    },
    {
      method: 'GET',
      path: '/control/runs',
      handle: ({ response }) => sendJson(response, 200, { runs: runLog.list(), lookups }),
    },
    { method: 'POST', path: '/control/faults', handle: controlFaults },
  ];

  return {
    ...createHttpStandin(options.listen ?? '127.0.0.1:0', routes),
    runs: runLog.list,
    leave: () => {
      isLeaving = true;
    },
    setFaults,
  };
};
