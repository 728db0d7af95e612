import { spawn } from 'node:child_process';
import * as readline from 'node:readline';
import process from 'node:process';
import { waitUntil } from '../waitUntil';

/** One line that a process printed; a line that is not a JSON object has only its text. */
export interface ProcessLine {
  readonly text: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** The exit code or signal with which a process ended. */
export interface ProcessExit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A process started by a test. */
export interface TestProcess {
  readonly name: string;
  readonly pid: number;
  readonly lines: () => readonly ProcessLine[];
  /** Waits for the first line that `accepts` returns true for, and returns it. */
  readonly waitForLine: (
    accepts: (line: ProcessLine) => boolean,
    timeoutMs: number,
    description: string,
  ) => Promise<ProcessLine>;
  readonly isRunning: () => boolean;
  readonly exited: Promise<ProcessExit>;
  /** Sends SIGKILL and waits for the process to exit. */
  readonly kill: () => Promise<void>;
  /** Sends SIGSTOP, which simulates a long pause of the machine. */
  readonly pause: () => void;
  readonly resume: () => void;
  /** Sends SIGTERM, which requests a graceful shutdown. */
  readonly terminate: () => void;
}

/** Options of a process to start. */
export interface StartProcessOptions {
  readonly name: string;
  /** The script and its arguments. */
  readonly command: readonly string[];
  readonly environment?: Readonly<Record<string, string>>;
}

// Exits a child whose parent ended without running its exit handlers, as after SIGKILL.
const orphanWatchdog = `data:text/javascript,${encodeURIComponent(
  'const parent = process.ppid;' +
    'setInterval(() => process.ppid === parent || process.exit(1), 500).unref();',
)}`;

const maxRetainedLines = 20_000;
const runningPids = new Set<number>();

const killAll = () =>
  runningPids.forEach((pid) => {
    try {
      process.kill(pid, 'SIGKILL');
    } catch {
      // The process has already exited.
    }
  });

const terminationSignals = ['SIGINT', 'SIGTERM', 'SIGHUP'] as const;
let areExitHandlersInstalled = false;

/**
 * Kills the started processes when this one exits. Called at the first start, so that a process
 * that starts no others keeps its signal handling.
 */
const installExitHandlers = () => {
  if (areExitHandlersInstalled) return;
  areExitHandlersInstalled = true;
  process.once('exit', killAll);
  terminationSignals.forEach((signal) => process.once(signal, () => process.exit(1)));
};

const parseLine = (text: string): ProcessLine => {
  try {
    const value: unknown = JSON.parse(text);
    const isRecord = typeof value === 'object' && value !== null;
    return { text, fields: isRecord ? (value as ProcessLine['fields']) : {} };
  } catch {
    return { text, fields: {} };
  }
};

/** Starts a Node.js process, which is killed when the process that started it exits. */
export const startProcess = ({ name, command, environment }: StartProcessOptions): TestProcess => {
  installExitHandlers();
  const child = spawn(process.execPath, ['--import', orphanWatchdog, ...command], {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { ...process.env, ...environment },
  });
  const { pid } = child;
  if (pid === undefined) throw new Error(`process ${name} failed to start: ${command.join(' ')}`);
  runningPids.add(pid);

  const lines: ProcessLine[] = [];
  const recordLine = (text: string) => {
    lines.push(parseLine(text));
    if (lines.length > maxRetainedLines) lines.splice(0, maxRetainedLines / 2);
  };
  [child.stdout, child.stderr].forEach((input) =>
    readline.createInterface({ input }).on('line', recordLine),
  );

  const exited = new Promise<ProcessExit>((resolve) => {
    child.once('exit', (code, signal) => {
      runningPids.delete(pid);
      resolve({ code, signal });
    });
  });
  const isRunning = () => runningPids.has(pid);
  const send = (signal: NodeJS.Signals) => {
    if (isRunning()) child.kill(signal);
  };

  const waitForLine: TestProcess['waitForLine'] = async (accepts, timeoutMs, description) => {
    const hasMatch = () => lines.some(accepts);
    try {
      await waitUntil(() => hasMatch() || !isRunning(), timeoutMs, description);
    } catch (cause) {
      const tail = lines.slice(-5).map(({ text }) => text);
      throw new Error(
        `${name} did not print the expected line in time; last lines:\n${tail.join('\n')}`,
        { cause },
      );
    }
    const found = lines.find(accepts);
    if (found) return found;
    const tail = lines.slice(-10).map(({ text }) => text);
    throw new Error(
      `${name} exited before printing ${description}; last lines:\n${tail.join('\n')}`,
    );
  };

  return {
    name,
    pid,
    lines: () => lines,
    waitForLine,
    isRunning,
    exited,
    kill: async () => {
      send('SIGKILL');
      await exited;
    },
    pause: () => send('SIGSTOP'),
    resume: () => send('SIGCONT'),
    terminate: () => send('SIGTERM'),
  };
};
