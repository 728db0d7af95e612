import { readdirSync } from 'node:fs';
import { basename } from 'node:path';

const isJson = (name: string): boolean => name.endsWith('.json');

/** Lists the JSON files and directories whose path begins with `pathPrefix`. Directories end with "/". */
export const listFiles = (pathPrefix: string): readonly string[] => {
  const namePrefix = pathPrefix.endsWith('/') ? '' : basename(pathPrefix);
  const directory = pathPrefix.slice(0, pathPrefix.length - namePrefix.length);
  try {
    return readdirSync(directory || '.', { withFileTypes: true })
      .filter((entry) => entry.isDirectory() || isJson(entry.name))
      .filter(({ name }) => name.startsWith(namePrefix))
      .map((entry) => `${directory}${entry.name}${entry.isDirectory() ? '/' : ''}`);
  } catch {
    return [];
  }
};
