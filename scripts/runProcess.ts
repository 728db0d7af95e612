import { spawn } from 'node:child_process';

/** Exit code and output of a finished process. */
export interface ProcessResult {
  readonly exitCode: number;
  readonly output: string;
}

/** Runs a command until it exits and collects its output; kills it after `timeoutMs`. */
export const runProcess = (
  command: string,
  commandArguments: readonly string[],
  timeoutMs: number,
): Promise<ProcessResult> =>
  new Promise((resolve) => {
    const child = spawn(command, commandArguments, { stdio: ['ignore', 'pipe', 'pipe'] });
    let output = '';
    const collect = (chunk: Buffer) => {
      output += chunk.toString();
    };
    child.stdout.on('data', collect);
    child.stderr.on('data', collect);
    const timer = setTimeout(() => {
      output += `\nkilled after ${timeoutMs} ms\n`;
      child.kill('SIGKILL');
    }, timeoutMs);
    child.on('close', (code) => {
      clearTimeout(timer);
      resolve({ exitCode: code ?? 1, output });
    });
  });
