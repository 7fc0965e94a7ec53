/** A row of the printed table. */
export type Row = Record<string, string | number>;

/** A measurement; `run` reports progress by `print`. */
export interface Measurement {
  description: string;
  run(print: (text: string) => void): Promise<{ rows: Row[]; figures: Record<string, unknown> }>;
}
