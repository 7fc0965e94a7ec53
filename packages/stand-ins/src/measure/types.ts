/** What a measurement is and what it reports. */

/** A row of the printed table. */
export type Row = Record<string, string | number>;

/** One measurement. */
export interface Measurement {
  description: string;
  run(say: (text: string) => void): Promise<{ rows: Row[]; figures: Record<string, unknown> }>;
}
