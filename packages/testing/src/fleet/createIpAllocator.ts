import process from 'node:process';

/** Allocates a separate loopback IP for every process of a fleet. */
export interface IpAllocator {
  /** Returns the next unused IP. */
  readonly allocate: () => string;
}

const firstBlock = 64;
const blockCount = 128;
const subnetsPerBlock = 256;
const subnetsPerProcess = 4;

/** Ports on each IP; the proxy listens at the port of a process plus `proxyOffset`. */
export const ports = {
  gateway: 8_080,
  admin: 8_081,
  peers: 8_082,
  target: 7_000,
  platform: 9_000,
  proxyOffset: 10_000,
} as const;

let allocatorCount = 0;

/**
 * Creates an allocator for a subnet that is derived from the process id and a counter, which keeps
 * concurrent fleets apart.
 */
export const createIpAllocator = (): IpAllocator => {
  const subnetNumber = process.pid * subnetsPerProcess + (allocatorCount % subnetsPerProcess);
  allocatorCount += 1;
  const block = firstBlock + (Math.floor(subnetNumber / subnetsPerBlock) % blockCount);
  const subnet = subnetNumber % subnetsPerBlock;
  let host = 0;
  return {
    allocate: () => {
      host += 1;
      return `127.${block}.${subnet}.${host}`;
    },
  };
};
