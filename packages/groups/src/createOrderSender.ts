import type * as clock from '@comfreydrum/clock';
import * as errors from '@comfreydrum/errors';
import type * as telemetry from '@comfreydrum/telemetry';
import * as targetClient from '@comfreydrum/target-client';
import * as undici from 'undici';
import type { Order } from './dueOrders';

/** Sends orders to targets. */
export interface OrderSender {
  /**
   * Sends each order that `maySend` allows. `maySend` is called in the event-loop tick of the send,
   * and each order is sent at most once a second.
   */
  readonly send: (orders: readonly Order[], maySend: (order: Order) => boolean) => void;
  /**
   * Returns the running and waiting requests that a group's leader reports, or undefined without an
   * response.
   */
  readonly readWork: (url: string) => Promise<number | undefined>;
  readonly close: () => Promise<void>;
}

/** Dependencies and settings of the order sender. */
export interface OrderSenderOptions {
  readonly clock: clock.Clock;
  readonly log: telemetry.Log;
  readonly timeline: telemetry.Timeline;
  readonly timeoutMs: number;
  readonly localAddress?: string | undefined;
}

const resendIntervalMs = 1_000;

const isLoadResponse = (
  value: unknown,
): value is { readonly running: number; readonly waiting: number } =>
  typeof value === 'object' && value !== null && 'running' in value && 'waiting' in value;

/** Creates an order sender that uses one connection per target. */
export const createOrderSender = (options: OrderSenderOptions): OrderSender => {
  const { clock, log, timeline } = options;
  const agent = targetClient.createBoundedAgent({
    connections: 1,
    connect: { timeout: options.timeoutMs },
    ...(options.localAddress === undefined ? {} : { localAddress: options.localAddress }),
  });
  const sentAtMs = new Map<string, number>();

  const isSentRecently = (key: string, nowMs: number) =>
    nowMs - (sentAtMs.get(key) ?? -Infinity) < resendIntervalMs;

  const deleteExpired = (nowMs: number) =>
    [...sentAtMs]
      .filter(([, atMs]) => nowMs - atMs >= resendIntervalMs)
      .forEach(([key]) => sentAtMs.delete(key));

  const post = async ({ instanceId, url, body }: Order) => {
    const { order: step, groupId, generation } = body;
    try {
      const response = await undici.request(`${url}/orders`, {
        method: 'POST',
        dispatcher: agent,
        signal: AbortSignal.timeout(options.timeoutMs),
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body),
      });
      await response.body.dump();
      const outcome = String(response.statusCode);
      timeline.record(`order ${step}`, { peer: instanceId, groupId, generation, outcome });
    } catch (cause) {
      const message = errors.describeCause(cause);
      log.info({ step: `order ${step}`, peer: instanceId, groupId, generation }, message);
    }
  };

  return {
    send: (orders, maySend) => {
      const nowMs = clock.monotonicMs();
      deleteExpired(nowMs);
      orders.forEach((order) => {
        const key = `${order.instanceId}/${order.body.order}/${order.body.generation}`;
        if (isSentRecently(key, nowMs) || !maySend(order)) return;
        sentAtMs.set(key, nowMs);
        void post(order);
      });
    },
    readWork: async (url) => {
      try {
        const response = await undici.request(`${url}/load`, {
          dispatcher: agent,
          signal: AbortSignal.timeout(options.timeoutMs),
        });
        const load: unknown = await response.body.json();
        return isLoadResponse(load) ? load.running + load.waiting : undefined;
      } catch {
        return undefined;
      }
    },
    close: () => agent.destroy(),
  };
};
