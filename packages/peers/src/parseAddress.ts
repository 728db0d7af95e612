/** An IP address and a port. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

/** Parses `IP:port`; an IPv6 address may be enclosed in brackets. */
export const parseAddress = (address: string): SocketAddress => {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(colon + 1)) };
};
