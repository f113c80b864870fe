/** One result of a benchmark, printed as a line of JSON. */
export interface BenchLine {
  name: string;
  value: number;
  unit: string;
  /** The same measurement of the baseline in the same run, or null if there is none. */
  baseline: number | null;
  conditions: string;
}

const SIGNIFICANT_DIGITS = 4;

/** Prints a result. */
export function printLine(line: BenchLine): void {
  const rounded = (value: number | null): number | null =>
    value === null ? null : Number(value.toPrecision(SIGNIFICANT_DIGITS));
  console.log(JSON.stringify({ ...line, value: rounded(line.value), baseline: rounded(line.baseline) }));
}
