/** A set of event listeners. */
export interface Listeners<Event> {
  /** Adds a listener; returns a function that removes it. */
  readonly add: (listener: (event: Event) => void) => () => void;
  readonly call: (event: Event) => void;
}

/** Creates an empty set; a listener that throws is reported to `onError`, and the others still run. */
export const createListeners = <Event>(onError: (cause: unknown) => void): Listeners<Event> => {
  const listeners = new Set<(event: Event) => void>();
  return {
    add: (listener) => {
      listeners.add(listener);
      return () => {
        listeners.delete(listener);
      };
    },
    call: (event) =>
      [...listeners].forEach((listener) => {
        try {
          listener(event);
        } catch (cause) {
          onError(cause);
        }
      }),
  };
};
