import * as testing from '@comfreydrum/testing';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';

const test = uvu.suite('completion of comfreydrumctl');

const run = async (...commandArguments: readonly string[]) => {
  const started = testing.startProcess({
    name: 'comfreydrumctl',
    command: ['apps/comfreydrumctl/dist/main.js', ...commandArguments],
  });
  const { code } = await started.exited;
  return { code, lines: started.lines().map(({ text }) => text) };
};

/** Returns the completion candidates for the last of `words`. */
const complete = async (...words: readonly string[]): Promise<readonly string[]> => {
  const { code, lines } = await run('complete', '--', ...words);
  assert.is(code, 0);
  return lines.filter((line) => !line.startsWith(':')).map((line) => line.split('\t')[0]!);
};

const completions: readonly (readonly [words: readonly string[], expected: readonly string[]])[] = [
  [['l'], ['ledger']],
  [
    ['ledger', ''],
    ['unknown', 'resolve', 'help'],
  ],
  [
    ['apply', 'examples/'],
    ['examples/east-midlands.json', 'examples/navarra-norte.json', 'examples/settings.json'],
  ],
  [['apply', 'examples/nav'], ['examples/navarra-norte.json']],
  [['apply', 'exam'], ['examples/']],
  [['apply', './exam'], ['./examples/']],
  [['apply', 'absent/'], []],
  [
    ['apply', '--'],
    ['--expect', '--dry-run', '--wait'],
  ],
  [
    ['ledger', 'resolve', 'claim-1', '--outcome', ''],
    ['ran', 'not-run'],
  ],
];

completions.forEach(([words, expected]) =>
  test(`suggests ${expected.join(', ')} after "${words.join(' ')}"`, async () => {
    const candidates = await complete(...words);
    expected.forEach((word) => assert.ok(candidates.includes(word), `got ${candidates.join(' ')}`));
    if (words.at(-1) !== '--') assert.is(candidates.length, expected.length);
  }),
);

['bash', 'zsh', 'fish', 'powershell'].forEach((shell) =>
  test(`prints a script for ${shell}`, async () => {
    const { code, lines } = await run('complete', shell);
    assert.is(code, 0);
    assert.match(lines.join('\n'), `# ${shell} completion for comfreydrumctl`);
  }),
);

test('refuses a shell that it does not know, with exit code 2', async () => {
  const { code, lines } = await run('complete', 'csh');
  assert.is(code, 2);
  assert.match(lines.join('\n'), 'Allowed choices are zsh, bash, fish, powershell');
});

test.run();
