import type * as errors from '@comfreydrum/errors';

/** Error that ends a command with a message and an exit code. */
export class CommandFailure extends Error implements errors.Failure<'command-failed'> {
  readonly kind = 'command-failed';

  constructor(
    readonly step: string,
    readonly peer: string,
    message: string,
    readonly exitCode: number,
  ) {
    super(message);
  }
}
