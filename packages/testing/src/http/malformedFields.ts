const controlBytes = ['\u0000', '\u0001', '\u000b', '\u001b', '\u007f'];

/** Header fields whose name is no token. */
export const malformedFields: readonly string[] = [
  ...[' ', '\t', '"', ...controlBytes].flatMap((bad) => [
    `${bad}x-a: b`,
    `x${bad}a: b`,
    `x-a${bad}: b`,
    `content-length${bad}: 3`,
    `transfer-encoding${bad}: chunked`,
    `content${bad}length: 3`,
  ]),
  ': b',
  'x-a',
];
