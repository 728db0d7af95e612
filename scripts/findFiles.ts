import { existsSync } from 'node:fs';
import { readdir } from 'node:fs/promises';
import { join } from 'node:path';

/** Returns the sorted paths of files below `folders` that end with `suffix`; skips missing folders. */
export const findFiles = async (
  folders: readonly string[],
  suffix: string,
): Promise<readonly string[]> => {
  const found = await Promise.all(
    folders
      .filter((folder) => existsSync(folder))
      .map(async (folder) => {
        const names = await readdir(folder, { recursive: true });
        return names.map((name) => join(folder, name));
      }),
  );
  return found
    .flat()
    .filter((file) => file.endsWith(suffix) && !/node_modules|dist\//.test(file))
    .sort();
};
