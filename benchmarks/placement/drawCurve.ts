import type { PolicyResult } from '../placement';

const widthPx = 720;
const heightPx = 440;
const marginPx = 70;
const tickCount = 5;

const formatTick = (value: number) => (value >= 100 ? value.toFixed(0) : value.toPrecision(2));

/** Returns an SVG chart of downtime against stranded accelerator-hours, both on logarithmic axes. */
export const drawCurve = (figures: readonly PolicyResult[]): string => {
  const axis = (values: readonly number[], fromPx: number, toPx: number) => {
    const low = Math.log(Math.min(...values) * 0.8);
    const high = Math.log(Math.max(...values) * 1.25);
    const scale = (value: number) =>
      fromPx + ((Math.log(value) - low) / (high - low)) * (toPx - fromPx);
    const ticks = Array.from({ length: tickCount }, (_, index) =>
      Math.exp(low + ((high - low) * index) / (tickCount - 1)),
    );
    return { scale, ticks };
  };
  const x = axis(
    figures.map(({ strandedHoursPerDay }) => strandedHoursPerDay),
    marginPx,
    widthPx - marginPx * 1.5,
  );
  const y = axis(
    figures.map(({ downtimeHoursPerDay }) => downtimeHoursPerDay),
    heightPx - marginPx,
    marginPx / 2,
  );
  const text = (leftPx: number, topPx: number, content: string, anchor = 'start') =>
    `<text x="${leftPx.toFixed(1)}" y="${topPx.toFixed(1)}" text-anchor="${anchor}">${content}</text>`;
  const point = ({ name, strandedHoursPerDay, downtimeHoursPerDay }: PolicyResult) => {
    const leftPx = x.scale(strandedHoursPerDay);
    const topPx = y.scale(downtimeHoursPerDay);
    const colour = name.startsWith('weighted') ? '#1661a8' : '#b4411b';
    const circle = `<circle cx="${leftPx.toFixed(1)}" cy="${topPx.toFixed(1)}" r="4" fill="${colour}"/>`;
    return `${circle}${text(leftPx + 7, topPx + 4, name)}`;
  };
  const curve = figures
    .filter(({ name }) => name.startsWith('weighted'))
    .map(
      ({ strandedHoursPerDay, downtimeHoursPerDay }) =>
        `${x.scale(strandedHoursPerDay).toFixed(1)},${y.scale(downtimeHoursPerDay).toFixed(1)}`,
    )
    .join(' ');
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${widthPx}" height="${heightPx}" font-family="sans-serif" font-size="12">`,
    `<rect width="${widthPx}" height="${heightPx}" fill="white"/>`,
    `<path d="M${marginPx} ${marginPx / 2}V${heightPx - marginPx}H${widthPx - marginPx}" fill="none" stroke="black"/>`,
    ...x.ticks.map((value) =>
      text(x.scale(value), heightPx - marginPx + 18, formatTick(value), 'middle'),
    ),
    ...y.ticks.map((value) => text(marginPx - 6, y.scale(value) + 4, formatTick(value), 'end')),
    text(widthPx / 2, heightPx - 20, 'stranded accelerator-hours a day', 'middle'),
    `<g transform="rotate(-90 16 ${heightPx / 2})">${text(16, heightPx / 2, 'group downtime hours a day', 'middle')}</g>`,
    `<polyline points="${curve}" fill="none" stroke="#1661a8"/>`,
    ...figures.map(point),
    '</svg>',
    '',
  ].join('\n');
};
