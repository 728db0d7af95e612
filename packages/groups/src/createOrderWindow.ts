import type * as clock from '@comfreydrum/clock';

/**
 * Limits when a daemon may send orders to targets that ignore fencing.
 *
 * Writing the record of a fabric domain opens a window, counted from just before the write is sent.
 * A daemon that writes after another one waits until the other's window, plus the maximum lifetime
 * of a message sent in it, must have ended.
 */
export interface OrderWindow {
  /** Records a successful write and the writer of the replaced record. */
  readonly recordWrite: (fabricDomain: string, formerWriter: string, startedAtMs: number) => void;
  /**
   * Whether this daemon may send orders, in this event-loop tick, based on a record of `writer`.
   */
  readonly isOpen: (fabricDomain: string, writer: string) => boolean;
  /** Discards the window after a write that was not confirmed. */
  readonly discard: (fabricDomain: string) => void;
  /**
   * Whether another write would open the window, or start the wait for the previous writer's window
   * to end.
   */
  readonly mayRenew: (fabricDomain: string, writer: string) => boolean;
}

/** The writer, the length of its windows, and the maximum lifetime of a message. */
export interface OrderWindowOptions {
  readonly clock: clock.Clock;
  readonly writer: string;
  readonly windowMs: number;
  readonly messageLifeMs: number;
}

interface WindowState {
  readonly writtenAtMs: number;
  /** When the windows of all previous writers have ended. */
  readonly formerWindowsEndAtMs: number;
}

/** Creates the order windows of a daemon; `writer` identifies this run of the daemon. */
export const createOrderWindow = (options: OrderWindowOptions): OrderWindow => {
  const { clock, writer, windowMs, messageLifeMs } = options;
  const windows = new Map<string, WindowState>();

  return {
    recordWrite: (fabricDomain, formerWriter, startedAtMs) => {
      const isSameWriter = formerWriter === writer;
      const known = windows.get(fabricDomain);
      const newWindowsEndAtMs = clock.monotonicMs() + windowMs + messageLifeMs;
      const isFirst = formerWriter === '';
      const endAtMs = isSameWriter && known ? known.formerWindowsEndAtMs : newWindowsEndAtMs;
      windows.set(fabricDomain, {
        writtenAtMs: startedAtMs,
        formerWindowsEndAtMs: isFirst ? 0 : endAtMs,
      });
    },
    isOpen: (fabricDomain, recordWriter) => {
      const state = windows.get(fabricDomain);
      if (!state || recordWriter !== writer) return false;
      const isAfterFormerWindows = state.writtenAtMs >= state.formerWindowsEndAtMs;
      return isAfterFormerWindows && clock.monotonicMs() - state.writtenAtMs < windowMs;
    },
    discard: (fabricDomain) => windows.delete(fabricDomain),
    mayRenew: (fabricDomain, recordWriter) => {
      const state = windows.get(fabricDomain);
      if (!state || recordWriter !== writer) return true;
      return clock.monotonicMs() >= state.formerWindowsEndAtMs;
    },
  };
};
