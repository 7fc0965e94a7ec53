/** What every task of one process shares. */
import type * as core from '@figshed/core';
import type * as runtime from '@figshed/runtime';
import type * as bus from './bus.js';
import type * as schema from './settings/schema.js';

/** The surroundings of a task. */
export interface Context {
  settings: schema.Settings;
  /** Identity of this process; a restart has another one. */
  instance: string;
  clock: core.Clock;
  random: core.Random;
  log: runtime.Logger;
  metrics: runtime.Metrics;
  bus: bus.Bus;
  platform: runtime.LogClient;
  peers: runtime.PeerClient;
  peerServer: runtime.PeerServer;
  /** Where a member's peer port is reached from here. */
  locate(info: core.MemberInfo): core.Endpoint;
  /** Reports an error that no caller waits for; a broken invariant is counted apart. */
  reportError(event: string, error: unknown): void;
}

/** A part that owns sockets, timers or state. */
export interface Task {
  start(): Promise<void>;
  stop(): Promise<void>;
}
