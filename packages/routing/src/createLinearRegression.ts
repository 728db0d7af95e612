/** Fits a line to a stream of points by linear regression with exponentially decaying weights. */
export interface LinearRegression {
  readonly add: (x: number, y: number) => void;
  /** Returns the slope, at least 0; `initial` until there are enough points with different x. */
  readonly slope: (initial: number) => number;
  /** Returns the predicted y at an x; `x * initial` until there are enough points. */
  readonly predict: (x: number, initial: number) => number;
  /** Returns the ratio of the mean y to the mean x; `initial` until there are enough points. */
  readonly ratio: (initial: number) => number;
}

const minPoints = 20;

/**
 * Creates a regression without points; `weight` is the weight of a new point relative to the total.
 */
export const createLinearRegression = (weight: number): LinearRegression => {
  let pointCount = 0;
  let meanX = 0;
  let meanY = 0;
  let variance = 0;
  let covariance = 0;

  const slope = (initial: number) => {
    if (pointCount < minPoints || variance === 0) return initial;
    return Math.max(0, covariance / variance);
  };

  return {
    add: (x, y) => {
      pointCount += 1;
      const effectiveWeight = Math.max(weight, 1 / pointCount);
      const offsetX = x - meanX;
      const offsetY = y - meanY;
      meanX += effectiveWeight * offsetX;
      meanY += effectiveWeight * offsetY;
      variance = (1 - effectiveWeight) * (variance + effectiveWeight * offsetX * offsetX);
      covariance = (1 - effectiveWeight) * (covariance + effectiveWeight * offsetX * offsetY);
    },
    slope,
    predict: (x, initial) =>
      pointCount < minPoints ? x * initial : Math.max(0, meanY + slope(0) * (x - meanX)),
    ratio: (initial) => (pointCount < minPoints || meanX <= 0 ? initial : meanY / meanX),
  };
};
