/** An IP address and a port. */
export interface Address {
  readonly ip: string;
  readonly port: number;
}

/** Parses `IP:port`. */
export const parseAddress = (text: string): Address => {
  const separator = text.lastIndexOf(':');
  return { ip: text.slice(0, separator), port: Number(text.slice(separator + 1)) };
};

/** Formats an address as `IP:port`. */
export const formatAddress = ({ ip, port }: Address): string => `${ip}:${port}`;
