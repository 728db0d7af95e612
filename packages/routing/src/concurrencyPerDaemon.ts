/**
 * Factor by which a daemon may exceed an even share, as callers are not spread evenly over the
 * daemons.
 */
const headroom = 1.25;

/**
 * Returns how many concurrent requests one of several daemons may send to targets with a common
 * limit.
 */
export const concurrencyPerDaemon = (maxConcurrent: number, daemonCount: number): number =>
  daemonCount <= 1
    ? maxConcurrent
    : Math.max(1, Math.ceil((maxConcurrent * headroom) / daemonCount));
