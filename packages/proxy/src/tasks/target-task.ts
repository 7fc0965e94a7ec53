/**
 * Serves the local port to which the target of this host sends announcements, and detects its
 * crashes. A target whose lease expired without a new announcement is removed.
 */
import * as http from 'node:http';
import * as net from 'node:net';
import type * as core from '@figshed/core';
import * as zod from 'zod';
import type * as context from '../context.js';
import * as targetEgress from '../egress/egress.js';
import type * as healthTask from './health-task.js';

const { z } = zod;

const MAX_BODY_BYTES = 10_000;
const MAX_PORT = 65_535;
const MAX_SLOTS = 10_000;
const HTTP_OK = 200;
const HTTP_BAD_REQUEST = 400;
const HTTP_NOT_FOUND = 404;
const TICK_INTERVAL_MS = 250;
/** Delay between a lost connection and the check that the target still accepts connections. */
const CRASH_CHECK_DELAY_MS = 20;

const announcementSchema = z.strictObject({
  service: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/),
  address: z.union([z.ipv4(), z.ipv6()]),
  port: z.number().int().min(1).max(MAX_PORT),
  slots: z.number().int().positive().max(MAX_SLOTS),
  connections: z.number().int().positive().max(MAX_SLOTS).default(100),
  state: z.enum(['up', 'draining']),
});

export interface TargetTask extends context.Task {
  egress: targetEgress.Egress;
}

function sendJson(response: http.ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(value));
}

function isListening(address: string, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = net.connect({ host: address, port });
    socket.once('connect', () => {
      socket.destroy();
      resolve(true);
    });
    socket.once('error', () => resolve(false));
  });
}

/**
 * Creates the target task.
 *
 * @example
 * const target = createTargetTask(context, health);
 */
export function createTargetTask(
  ctx: context.Context,
  health: Pick<healthTask.HealthTask, 'isQuarantined' | 'recordCompletion'>,
): TargetTask {
  const { settings, clock, log, bus, metrics, instance } = ctx;
  let target: targetEgress.AnnouncedTarget | null = null;
  let publishedInfoText = '';
  let leaseExpiresAt = 0;
  let tickTimer: NodeJS.Timeout | undefined;
  let lostFingerprints: string[] = [];
  let isCheckPending = false;
  let crashCount = 0;

  const setTarget = (next: targetEgress.AnnouncedTarget | null, reason: string): void => {
    target = next;
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual reference
    egress.setTarget(next);
    const info: core.TargetInfo | null = next && {
      service: next.service,
      slots: next.slots,
      state: next.state,
    };
    const infoText = JSON.stringify(info);
    if (infoText === publishedInfoText) return;
    publishedInfoText = infoText;
    log.info('target', { service: next?.service, state: next?.state ?? 'gone', reason });
    bus.send('target-changed', { target: info });
  };

  const recordCrash = (): void => {
    if (!target) return;
    crashCount += 1;
    metrics.increment('target.deaths');
    setTarget({ ...target, state: 'down' }, 'died');
    const deathId = `${instance}:${crashCount}`;
    const crashedAt = clock.now();
    const crashes = lostFingerprints.map((fingerprint) => ({
      fingerprint,
      deathId,
      at: crashedAt,
    }));
    if (crashes.length > 0) bus.send('target-crashed', { crashes });
  };

  const checkTarget = async (): Promise<void> => {
    if (!target || target.state === 'down') return;
    const { address, port } = target;
    if (!(await isListening(address, port)) && target?.port === port) recordCrash();
  };

  const egress = targetEgress.createEgress(ctx, {
    isQuarantined: health.isQuarantined,
    onCompleted: health.recordCompletion,
    onConnectionFailure(fingerprints) {
      lostFingerprints.push(...fingerprints);
      if (isCheckPending) return;
      isCheckPending = true;
      setTimeout(() => {
        checkTarget()
          .catch((error: unknown) => ctx.reportError('check-target', error))
          .finally(() => {
            isCheckPending = false;
            lostFingerprints = [];
          });
      }, CRASH_CHECK_DELAY_MS);
    },
  });

  const handleAnnouncement = (body: string, response: http.ServerResponse): void => {
    let value: unknown;
    try {
      value = JSON.parse(body);
    } catch {
      sendJson(response, HTTP_BAD_REQUEST, { error: 'body is not JSON' });
      return;
    }
    const parsed = announcementSchema.safeParse(value);
    if (!parsed.success) {
      const findings = parsed.error.issues.map(({ path, message }) => ({
        path: path.join('.'),
        message,
      }));
      sendJson(response, HTTP_BAD_REQUEST, { error: 'announcement is not valid', findings });
      return;
    }
    leaseExpiresAt = clock.monotonic() + settings.targetLeaseMs;
    setTarget(parsed.data, 'announced');
    sendJson(response, HTTP_OK, { leaseMs: settings.targetLeaseMs });
  };

  const server = http.createServer((request, response) => {
    if (request.url !== '/target') {
      request.resume();
      sendJson(response, HTTP_NOT_FOUND, { error: 'no such path' });
      return;
    }
    if (request.method === 'DELETE') {
      request.resume();
      setTarget(null, 'withdrawn');
      sendJson(response, HTTP_OK, {});
      return;
    }
    let body = '';
    request.on('data', (chunk: Buffer) => {
      if (body.length < MAX_BODY_BYTES) body += chunk.toString();
    });
    request.on('end', () => handleAnnouncement(body, response));
  });

  const tick = (): void => {
    egress.deleteExpiredStates();
    if (!target || clock.monotonic() < leaseExpiresAt) return;
    egress.disconnectTarget();
    setTarget(null, 'lease-expired');
  };

  return {
    egress,
    async start() {
      const { listen } = settings;
      await new Promise<void>((resolve, reject) => {
        server.once('error', reject);
        server.listen(listen.localPort, listen.address, resolve);
      });
      tickTimer = setInterval(tick, TICK_INTERVAL_MS);
    },
    async stop() {
      clearInterval(tickTimer);
      server.close();
      server.closeAllConnections();
    },
  };
}
