import type * as core from '@figshed/core';
import type * as runtime from '@figshed/runtime';
import type * as bus from './bus.js';
import type * as schema from './settings/schema.js';

/** Dependencies that all tasks of one process share. */
export interface Context {
  settings: schema.Settings;
  /** Instance ID of this process; a restarted process has another one. */
  instance: string;
  clock: core.Clock;
  random: core.Random;
  log: runtime.Logger;
  metrics: runtime.Metrics;
  bus: bus.Bus;
  logClient: runtime.LogClient;
  peerClient: runtime.PeerClient;
  peerServer: runtime.PeerServer;
  /**
   * Returns the endpoint of a member's peer port, with the address of the gateway to its data
   * centre if the settings have one.
   */
  resolveEndpoint(info: core.MemberInfo): core.Endpoint;
  /**
   * Logs and counts an error that no caller receives; violated invariants are counted separately.
   */
  reportError(operation: string, error: unknown): void;
}

/** A component with a lifecycle that owns sockets, timers or state. */
export interface Task {
  start(): Promise<void>;
  stop(): Promise<void>;
}
