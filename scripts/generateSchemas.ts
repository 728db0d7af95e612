/** Writes the JSON Schemas of settings and configuration; with --check, reports outdated files instead. */
import { readFile, writeFile } from 'node:fs/promises';
import process from 'node:process';
import * as configuration from '@comfreydrum/configuration';
import * as settings from '@comfreydrum/settings';
import * as prettier from 'prettier';
import * as zod from 'zod';

const schemas = {
  'schemas/configuration.schema.json': configuration.configurationSchema,
  'schemas/settings.schema.json': settings.settingsSchema,
  'schemas/relay-settings.schema.json': settings.relaySettingsSchema,
} as const;

const render = async (schema: zod.ZodType): Promise<string> => {
  const text = JSON.stringify(zod.toJSONSchema(schema, { io: 'input' }));
  const options = await prettier.resolveConfig('schemas/any.json');
  return prettier.format(text, { ...options, parser: 'json' });
};

for (const [file, schema] of Object.entries(schemas)) {
  const text = await render(schema);
  if (!process.argv.includes('--check')) {
    await writeFile(file, text);
  } else if ((await readFile(file, 'utf8').catch(() => '')) !== text) {
    console.error(`${file} differs from its source; run "npm run schemas"`);
    process.exitCode = 1;
  }
}
