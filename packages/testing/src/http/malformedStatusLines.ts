/** Status lines that are not HTTP/1.1, or whose status is outside 100 to 599. */
export const malformedStatusLines: readonly string[] = [
  ...['000', '001', '099', '600', '999', '2', '20', '2000', '+200', '-200', '0x8', '20o', ''].map(
    (status) => `HTTP/1.1 ${status} OK`,
  ),
  'HTTP/1.1 000',
  'HTTP/1.1',
  'HTTP/9.9 200 OK',
];
