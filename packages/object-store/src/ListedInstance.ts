import * as zod from 'zod';

/** Schema of one entry of the platform's list of target instances, which lags behind the real state. */
export const listedInstanceSchema = zod
  .object({
    instanceId: zod.string(),
    url: zod.string(),
    targetKind: zod.string(),
    region: zod.string(),
    failureDomain: zod.string(),
    fabricDomain: zod.string(),
    acceleratorCount: zod.number().int().nonnegative(),
    state: zod.enum(['live', 'leaving']),
  })
  .readonly();

export type ListedInstance = zod.infer<typeof listedInstanceSchema>;
