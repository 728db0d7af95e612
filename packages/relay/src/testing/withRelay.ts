import { createTestRelay, type TestRelay, type TestRelayOptions } from './createTestRelay';

/** Runs `use` with a relay, which is always stopped afterwards. */
export const withRelay = async (
  options: TestRelayOptions,
  use: (relay: TestRelay) => Promise<void>,
): Promise<void> => {
  const relay = await createTestRelay(options);
  try {
    await use(relay);
  } finally {
    await relay.stop();
  }
};
