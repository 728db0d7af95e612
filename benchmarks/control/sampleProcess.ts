import { readFile } from 'node:fs/promises';

/** Resource counters of a process, read from /proc. */
export interface ProcessSample {
  readonly cpuMs: number;
  readonly memoryBytes: number;
  /** Bytes of read and write system calls, which include TCP connections but no datagrams. */
  readonly streamBytes: number;
}

const msPerTick = 10;
const bytesPerKilobyte = 1_024;
/** Positions of the fields in /proc/PID/stat, counted after the command name. */
const userTicksIndex = 11;
const systemTicksIndex = 12;

const readNumber = (text: string, name: string): number =>
  Number(new RegExp(`^${name}:\\s+(\\d+)`, 'm').exec(text)?.[1] ?? Number.NaN);

/** Reads a sample; /proc/PID/io requires that the process belongs to the same user. */
export const sampleProcess = async (pid: number): Promise<ProcessSample> => {
  const [stat, status, io] = await Promise.all(
    ['stat', 'status', 'io'].map((file) => readFile(`/proc/${pid}/${file}`, 'utf8')),
  );
  const fields = stat!.slice(stat!.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[userTicksIndex]) + Number(fields[systemTicksIndex]);
  return {
    cpuMs: ticks * msPerTick,
    memoryBytes: readNumber(status!, 'VmRSS') * bytesPerKilobyte,
    streamBytes: readNumber(io!, 'rchar') + readNumber(io!, 'wchar'),
  };
};
