/** Throws for a variant that the type checker has ruled out. */
export const unreachable = (value: never): never => {
  throw new Error(`unexpected variant ${JSON.stringify(value)}`);
};
