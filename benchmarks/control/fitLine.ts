/** A measured point. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A line fitted to measured points. */
export interface Line {
  readonly intercept: number;
  readonly slope: number;
  readonly predict: (x: number) => number;
}

const mean = (values: readonly number[]) =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

/** Fits a line to the points by least squares. */
export const fitLine = (points: readonly Point[]): Line => {
  const meanX = mean(points.map(({ x }) => x));
  const meanY = mean(points.map(({ y }) => y));
  const sumOfSquares = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  const sumOfProducts = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
  const slope = sumOfSquares === 0 ? 0 : sumOfProducts / sumOfSquares;
  const intercept = meanY - slope * meanX;
  return { intercept, slope, predict: (x) => intercept + slope * x };
};
