import type * as objectStore from '@comfreydrum/object-store';

/** Receives a notification for each call to the platform. */
export interface CallCounter {
  readonly onRead: () => void;
  readonly onWrite: () => void;
}

/** Wraps a platform client to count its calls. */
export const countCalls = (
  client: objectStore.PlatformClient,
  counter: CallCounter,
): objectStore.PlatformClient => ({
  get: (...parameters) => {
    counter.onRead();
    return client.get(...parameters);
  },
  list: (...parameters) => {
    counter.onRead();
    return client.list(...parameters);
  },
  put: (...parameters) => {
    counter.onWrite();
    return client.put(...parameters);
  },
  remove: (...parameters) => {
    counter.onWrite();
    return client.remove(...parameters);
  },
  watch: (...parameters) => {
    counter.onRead();
    return client.watch(...parameters);
  },
  instances: (...parameters) => {
    counter.onRead();
    return client.instances(...parameters);
  },
});
