/** A component that a lifecycle starts and stops. */
export interface Component {
  readonly name: string;
  readonly start?: () => Promise<void> | void;
  readonly stop?: () => Promise<void> | void;
}

/** Starts the components of a process in order and stops them in reverse. */
export interface Lifecycle {
  /** Adds a component. Throws once the lifecycle has started. */
  readonly register: (component: Component) => void;
  /**
   * Starts the components in the order of registration. If one fails to start, stops those already
   * started and rejects. Starts no further one once the lifecycle is stopped, and resolves when it has.
   */
  readonly start: () => Promise<void>;
  /**
   * Stops the started components in reverse order, first the one that is just starting, as soon as it has. Further calls
   * wait for the first one.
   */
  readonly stop: () => Promise<void>;
}

/** Creates an empty lifecycle; `onStopError` is called for each component that fails to stop. */
export const createLifecycle = (
  onStopError: (componentName: string, cause: unknown) => void = () => {},
): Lifecycle => {
  const components: Component[] = [];
  const started: Component[] = [];
  let starting = false;
  let currentStart: Promise<void> = Promise.resolve();
  let stopping: Promise<void> | undefined;

  const startComponent = async (component: Component) => {
    await component.start?.();
    started.push(component);
  };

  const stopAll = async () => {
    // A failure to start is reported by `start`.
    await currentStart.catch(() => {});
    for (const component of started.splice(0).reverse()) {
      try {
        await component.stop?.();
      } catch (cause) {
        onStopError(component.name, cause);
      }
    }
  };

  const stop = () => {
    stopping ??= stopAll();
    return stopping;
  };

  return {
    register: (component) => {
      if (starting)
        throw new Error(`component ${component.name} was registered after the lifecycle started`);
      components.push(component);
    },
    start: async () => {
      starting = true;
      for (const component of components) {
        if (stopping !== undefined) break;
        currentStart = startComponent(component);
        try {
          await currentStart;
        } catch (cause) {
          await stop();
          throw new Error(`part ${component.name} did not start`, { cause });
        }
      }
      await stopping;
    },
    stop,
  };
};
