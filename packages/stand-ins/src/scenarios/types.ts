/** What a scenario is and what it reports. */
import type * as core from '@figshed/core';

/** What a scenario is run with. */
export interface ScenarioContext {
  seed: number;
  random: core.Random;
  say(text: string): void;
}

/** What a scenario found. */
export interface ScenarioResult {
  /** Whether the promise held. */
  held: boolean;
  /** Faults that really took place; a run without any proves nothing. */
  faults: number;
  figures: Record<string, unknown>;
}

/** One scenario on separate processes. */
export interface Scenario {
  description: string;
  run(context: ScenarioContext): Promise<ScenarioResult>;
}
