/** RPC methods by which operators and other processes read the state of a proxy. */
import * as core from '@figshed/core';
import * as zod from 'zod';
import type * as runtime from '@figshed/runtime';
import type * as context from '../context.js';
import type * as targetEgress from '../egress/egress.js';
import type * as callerServer from '../ingress/caller-server.js';
import type * as configTask from './config-task.js';
import type * as delegateTask from './delegate-task.js';
import type * as gossipTask from './gossip-task.js';
import type * as healthTask from './health-task.js';
import type * as limitTask from './limit-task.js';
import type * as orderTask from './order-task.js';

const { z } = zod;

const STATUS_TIMEOUT_MS = 1_000;
const MAX_PARALLEL_REQUESTS = 32;

/** Tasks whose state the methods return. */
export interface OperatorTasks {
  gossip: gossipTask.GossipTask;
  config: configTask.ConfigTask;
  orders: orderTask.OrderTask;
  health: healthTask.HealthTask;
  callers: callerServer.CallerServer;
  limits: limitTask.LimitTask;
  delegate: delegateTask.DelegateTask;
  egress: targetEgress.Egress;
}

/** Status of one proxy, as `status.get` returns it. */
export interface ProxyStatus {
  id: string;
  instance: string;
  dataCentre: string;
  ready: boolean;
  version: number;
  position: number;
  digest: string;
  inFlight: number;
  target: core.TargetInfo | null;
  load: core.LoadReport;
  orders: ReturnType<orderTask.OrderTask['getStats']>;
  quarantine: ReturnType<core.Quarantine['list']>;
  members: number;
  unreachableDataCentres: string[];
  metrics: Record<string, number>;
  memoryBytes: number;
  cpuMs: number;
  controlBytes: {
    sent: number;
    received: number;
    /** Bytes of gossip, which are part of `sent` and `received`. */
    datagrams: number;
    /** Bytes of requests sent and of their responses, by method. */
    requests: Record<string, number>;
  };
}

const MICROSECONDS_PER_MS = 1_000;

/**
 * Creates the method table.
 *
 * @example
 * peerServer.addMethods(createOperatorMethods(context, tasks));
 */
export function createOperatorMethods(
  ctx: context.Context,
  tasks: OperatorTasks,
): Record<string, runtime.PeerMethod> {
  const { settings, metrics, instance, peerClient } = ctx;
  const { gossip, config, orders, health, callers, limits, delegate, egress } = tasks;

  const readStatus = (): ProxyStatus => {
    const self = gossip.membership.getSelf();
    const compiled = config.getCurrent();
    const cpu = process.cpuUsage();
    const datagrams = gossip.getTraffic();
    const requests = peerClient.getTraffic();
    const dataCentres = [
      ...new Set(gossip.membership.listMembers().map(({ info }) => info.dataCentre)),
    ];
    return {
      id: settings.id,
      instance,
      dataCentre: settings.dataCentre,
      ready: self.info.ready,
      version: compiled?.version ?? -1,
      position: compiled?.position ?? -1,
      digest: compiled?.digest ?? '',
      inFlight: callers.countInFlight() + egress.countInFlight(),
      target: self.info.target,
      load: egress.getLoad(),
      orders: orders.getStats(),
      quarantine: health.listFingerprints(),
      members: gossip.membership.listMembers().filter(({ status }) => status === 'alive').length,
      unreachableDataCentres: dataCentres.filter((name) => !delegate.isReachable(name)),
      metrics: metrics.getValues(),
      memoryBytes: process.memoryUsage().rss,
      cpuMs: (cpu.user + cpu.system) / MICROSECONDS_PER_MS,
      controlBytes: {
        sent: datagrams.sent + requests.sent,
        received: datagrams.received + requests.received,
        datagrams: datagrams.sent + datagrams.received,
        requests: requests.byMethod,
      },
    };
  };

  const requestStatus = async (member: core.Member): Promise<ProxyStatus | { id: string }> => {
    if (member.id === settings.id) return readStatus();
    const peer = ctx.resolveEndpoint(member.info);
    try {
      return (await peerClient.request(peer, 'status.get', {}, STATUS_TIMEOUT_MS)) as ProxyStatus;
    } catch {
      return { id: member.id };
    }
  };

  const requestFleetStatus = async (): Promise<(ProxyStatus | { id: string })[]> => {
    const members = gossip.membership
      .listMembers()
      .filter(({ status }) => status === 'alive' || status === 'suspect');
    const statuses: (ProxyStatus | { id: string })[] = [];
    for (let start = 0; start < members.length; start += MAX_PARALLEL_REQUESTS) {
      const batch = members.slice(start, start + MAX_PARALLEL_REQUESTS);
      // Batches are sequential, so that a large fleet does not respond all at once.
      // eslint-disable-next-line no-await-in-loop
      statuses.push(...(await Promise.all(batch.map(requestStatus))));
    }
    return statuses;
  };

  return {
    'status.get': readStatus,
    'fleet.status': requestFleetStatus,
    'config.get': () => config.getCurrent()?.state ?? core.createEmptyState(),
    'contract.explain': (params) => {
      const { customer } = z.object({ customer: z.string() }).parse(params);
      const compiled = config.getCurrent();
      const contract = compiled?.contracts.get(customer);
      return {
        proxy: settings.id,
        version: compiled?.version ?? -1,
        contract: contract ? { ...contract, keyDigests: contract.keyDigests.length } : null,
        limits: limits.describe(customer),
      };
    },
    'decision.get': (params) => {
      const { id } = z.object({ id: z.string() }).parse(params);
      return config.replica.getState().decisions.find((decision) => decision.id === id) ?? null;
    },
  };
}
