import * as v8 from 'node:v8';
import * as vm from 'node:vm';

v8.setFlagsFromString('--expose-gc');
const collect = vm.runInNewContext('gc') as () => void;

const collectionCount = 4;
const pauseMs = 20;

/** Forces several garbage collections, with pauses in which finalizers and timers run. */
export const collectGarbage = async (): Promise<void> => {
  for (let count = 0; count < collectionCount; count += 1) {
    collect();
    await new Promise((resolve) => {
      setTimeout(resolve, pauseMs);
    });
  }
};
