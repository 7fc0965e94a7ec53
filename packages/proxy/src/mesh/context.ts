/** What the tasks of one mesh process share. */
import type * as core from '@figshed/core';
import type * as runtime from '@figshed/runtime';
import type * as meshMetrics from './metrics.js';
import type * as schema from './settings.js';
import type * as types from './types.js';

/** The surroundings of a task. */
export interface MeshContext {
  settings: schema.MeshSettings;
  clock: core.Clock;
  random: core.Random;
  log: runtime.Logger;
  metrics: meshMetrics.MeshMetrics;
  protocol: types.CallProtocol;
}
