import type * as core from '@figshed/core';

export interface ScenarioContext {
  seed: number;
  random: core.Random;
  print(text: string): void;
}

/** Result of a scenario; its fields are printed as JSON. */
export interface ScenarioResult {
  /** Whether the guarantee in the scenario's description held. */
  held: boolean;
  /** Number of faults that took effect; a run with none counts as failed, as it proves nothing. */
  faults: number;
  figures: Record<string, unknown>;
}

/** A failure scenario with proxies and targets in separate processes. */
export interface Scenario {
  description: string;
  run(context: ScenarioContext): Promise<ScenarioResult>;
}
