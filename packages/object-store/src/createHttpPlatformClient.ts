import * as clocks from '@comfreydrum/clock';
import * as errors from '@comfreydrum/errors';
import * as targetClient from '@comfreydrum/target-client';
import * as undici from 'undici';
import * as zod from 'zod';
import { listedInstanceSchema } from './ListedInstance';
import type { ObjectKey, PlatformClient } from './PlatformClient';
import type { PlatformFailure } from './PlatformFailure';

/** The address of the platform, the timeout of calls and the local address to call from. */
export interface HttpPlatformClientOptions {
  readonly url: string;
  readonly callTimeoutMs: number;
  readonly localAddress?: string | undefined;
}

interface Call {
  readonly step: string;
  readonly method: 'GET' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
  readonly timeoutMs?: number;
  readonly signal?: AbortSignal | undefined;
}

const storedObjectSchema = zod.object({
  kind: zod.string(),
  name: zod.string(),
  version: zod.number(),
  value: zod.unknown(),
});
const listSchema = zod.object({ version: zod.number(), objects: zod.array(storedObjectSchema) });
const watchSchema = zod.object({
  version: zod.number(),
  changed: zod.array(storedObjectSchema),
  deletedNames: zod.array(zod.string()),
});
const versionSchema = zod.object({ version: zod.number() });
const instancesSchema = zod.object({ instances: zod.array(listedInstanceSchema) });

const failureKindByStatus: Readonly<Record<number, PlatformFailure['kind']>> = {
  404: 'not-found',
  409: 'conflict',
  410: 'expired',
  412: 'conflict',
  413: 'too-large',
  429: 'refused',
  503: 'unreachable',
};

const objectPath = ({ kind, name }: ObjectKey): string =>
  `/objects/${encodeURIComponent(kind)}/${encodeURIComponent(name)}`;

/** Creates an HTTP client of the object API, without call budget or retries. */
export const createHttpPlatformClient = (options: HttpPlatformClientOptions): PlatformClient => {
  const connectTimeoutMs = options.callTimeoutMs;
  const agent = targetClient.createBoundedAgent({
    connect: { timeout: connectTimeoutMs },
    ...(options.localAddress === undefined ? {} : { localAddress: options.localAddress }),
  });

  const call = async <Value>(
    { step, method, path, headers, body, timeoutMs = options.callTimeoutMs, signal }: Call,
    schema: zod.ZodType<Value>,
  ): Promise<errors.Result<Value, PlatformFailure>> => {
    const fail = (kind: PlatformFailure['kind'], message: string) =>
      errors.err<PlatformFailure>({ kind, step, peer: `${options.url}${path}`, message });
    const deadline = clocks.createDeadline(timeoutMs, signal ? [signal] : []);
    try {
      const response = await undici.request(`${options.url}${path}`, {
        method,
        dispatcher: agent,
        signal: deadline.signal,
        headers: body === undefined ? headers : { 'content-type': 'application/json', ...headers },
        body: body === undefined ? null : JSON.stringify(body),
      });
      const text = await response.body.text();
      if (response.statusCode >= 400) {
        const kind = failureKindByStatus[response.statusCode] ?? 'ambiguous';
        return fail(kind, `${step} answered ${response.statusCode}: ${text.slice(0, 200)}`);
      }
      const checked = schema.safeParse(text === '' ? undefined : JSON.parse(text));
      if (checked.success) return errors.ok(checked.data);
      return fail('ambiguous', `${step} gave an unexpected answer: ${checked.error.message}`);
    } catch (cause) {
      const kind = method === 'GET' || errors.wasNeverSent(cause) ? 'unreachable' : 'ambiguous';
      return fail(kind, `${step} failed: ${errors.describeCause(cause)}`);
    } finally {
      deadline.release();
    }
  };

  return {
    get: (key) =>
      call({ step: 'get object', method: 'GET', path: objectPath(key) }, storedObjectSchema),
    list: (kind) =>
      call(
        { step: 'list objects', method: 'GET', path: `/objects/${encodeURIComponent(kind)}` },
        listSchema,
      ),
    put: async (key, value, condition) => {
      const headers: Record<string, string> =
        condition === 'absent'
          ? { 'if-none-match': '*' }
          : { 'if-match': String(condition.version) };
      const result = await call(
        { step: 'put object', method: 'PUT', path: objectPath(key), headers, body: value },
        versionSchema,
      );
      return result.ok ? errors.ok(result.value.version) : result;
    },
    remove: async (key, version) => {
      const result = await call(
        {
          step: 'remove object',
          method: 'DELETE',
          path: objectPath(key),
          headers: { 'if-match': String(version) },
        },
        zod.unknown(),
      );
      return result.ok ? errors.ok(undefined) : result;
    },
    watch: (kind, sinceVersion, timeoutMs, signal) =>
      call(
        {
          step: 'watch objects',
          method: 'GET',
          path: `/watch/${encodeURIComponent(kind)}?since=${sinceVersion}&timeoutMs=${timeoutMs}`,
          timeoutMs: timeoutMs + options.callTimeoutMs,
          signal,
        },
        watchSchema,
      ),
    instances: async () => {
      const result = await call(
        { step: 'list instances', method: 'GET', path: '/instances' },
        instancesSchema,
      );
      return result.ok ? errors.ok(result.value.instances) : result;
    },
  };
};
