/** Status lines that are not HTTP/1.1, or whose status is no status of a final response. */
export const malformedStatusLines: readonly string[] = [
  ...['000', '001', '099', '600', '999', '2', '20', '2000', '+200', '-200', '0x8', '20o', ''].map(
    (status) => `HTTP/1.1 ${status} OK`,
  ),
  'HTTP/1.1 000',
  'HTTP/1.1',
  'HTTP/9.9 200 OK',
];

const controlBytes = ['\u0000', '\u0001', '\u000b', '\u001b', '\u007f'];

/** Header lines whose name is no token. */
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
