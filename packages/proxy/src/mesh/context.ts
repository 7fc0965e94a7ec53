import type * as core from '@figshed/core';
import type * as runtime from '@figshed/runtime';
import type * as meshMetrics from './metrics.js';
import type * as meshSettings from './settings.js';
import type * as types from './types.js';

/** Dependencies that all tasks of a mesh process share. */
export interface MeshContext {
  settings: meshSettings.MeshSettings;
  clock: core.Clock;
  random: core.Random;
  log: runtime.Logger;
  metrics: meshMetrics.MeshMetrics;
  protocol: types.CallProtocol;
}
