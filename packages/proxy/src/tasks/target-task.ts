/** Owns the local port on which the target of this host announces itself, and its egress part. */
import * as http from 'node:http';
import * as net from 'node:net';
import type * as core from '@figshed/core';
import * as zod from 'zod';
import type * as context from '../context.js';
import * as egressModule from '../egress/egress.js';

const { z } = zod;

const MAX_BODY_BYTES = 10_000;
const MAX_PORT = 65_535;
const MAX_SLOTS = 10_000;
const HTTP_OK = 200;
const HTTP_BAD_REQUEST = 400;
const HTTP_NOT_FOUND = 404;
const TICK_MS = 250;
/** Pause between a lost connection and the check whether the target still listens. */
const DEATH_CHECK_MS = 20;

const announcementSchema = z.strictObject({
  service: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/),
  address: z.union([z.ipv4(), z.ipv6()]),
  port: z.number().int().min(1).max(MAX_PORT),
  slots: z.number().int().positive().max(MAX_SLOTS),
  connections: z.number().int().positive().max(MAX_SLOTS).default(100),
  state: z.enum(['up', 'draining']),
});

/** The target beside this process. */
export interface TargetTask extends context.Task {
  egress: egressModule.Egress;
}

function answer(response: http.ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(value));
}

function checkListens(address: string, port: number): Promise<boolean> {
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
 * const target = createTargetTask(context, (fingerprint) => quarantine.isQuarantined(fingerprint, now));
 */
export function createTargetTask(
  ctx: context.Context,
  isQuarantined: (fingerprint: string) => boolean,
): TargetTask {
  const { settings, clock, log, bus, metrics, instance } = ctx;
  let target: egressModule.AnnouncedTarget | null = null;
  let announced = '';
  let leaseUntil = 0;
  let timer: NodeJS.Timeout | undefined;
  let lost: string[] = [];
  let isChecking = false;
  let deathCount = 0;

  const setTarget = (next: egressModule.AnnouncedTarget | null, reason: string): void => {
    target = next;
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the parts know each other
    egress.setTarget(next);
    const info: core.TargetInfo | null = next && {
      service: next.service,
      slots: next.slots,
      state: next.state,
    };
    const text = JSON.stringify(info);
    if (text === announced) return;
    announced = text;
    log.info('target', { service: next?.service, state: next?.state ?? 'gone', reason });
    bus.send('target-changed', { target: info });
  };

  const noteDeath = (): void => {
    if (!target) return;
    deathCount += 1;
    metrics.increment('target.deaths');
    setTarget({ ...target, state: 'down' }, 'died');
    const deathId = `${instance}:${deathCount}`;
    const at = clock.now();
    const deaths = lost.map((fingerprint) => ({ fingerprint, deathId, at }));
    if (deaths.length > 0) bus.send('target-died', { deaths });
  };

  const checkTarget = async (): Promise<void> => {
    if (!target || target.state === 'down') return;
    const { address, port } = target;
    if (!(await checkListens(address, port)) && target?.port === port) noteDeath();
  };

  const egress = egressModule.createEgress(ctx, {
    isQuarantined,
    onTargetLost(fingerprints) {
      lost.push(...fingerprints);
      if (isChecking) return;
      isChecking = true;
      setTimeout(() => {
        checkTarget()
          .catch((error: unknown) => ctx.reportError('check-target', error))
          .finally(() => {
            isChecking = false;
            lost = [];
          });
      }, DEATH_CHECK_MS);
    },
  });

  const handleAnnouncement = (body: string, response: http.ServerResponse): void => {
    let value: unknown;
    try {
      value = JSON.parse(body);
    } catch {
      answer(response, HTTP_BAD_REQUEST, { error: 'body is not JSON' });
      return;
    }
    const parsed = announcementSchema.safeParse(value);
    if (!parsed.success) {
      const findings = parsed.error.issues.map(({ path, message }) => ({
        path: path.join('.'),
        message,
      }));
      answer(response, HTTP_BAD_REQUEST, { error: 'announcement is not valid', findings });
      return;
    }
    leaseUntil = clock.monotonic() + settings.targetLeaseMs;
    setTarget(parsed.data, 'announced');
    answer(response, HTTP_OK, { leaseMs: settings.targetLeaseMs });
  };

  const server = http.createServer((request, response) => {
    if (request.url !== '/target') {
      request.resume();
      answer(response, HTTP_NOT_FOUND, { error: 'no such path' });
      return;
    }
    if (request.method === 'DELETE') {
      request.resume();
      setTarget(null, 'withdrawn');
      answer(response, HTTP_OK, {});
      return;
    }
    let body = '';
    request.on('data', (chunk: Buffer) => {
      if (body.length < MAX_BODY_BYTES) body += chunk.toString();
    });
    request.on('end', () => handleAnnouncement(body, response));
  });

  const tick = (): void => {
    egress.tick();
    if (target && clock.monotonic() >= leaseUntil) setTarget(null, 'lease-expired');
  };

  return {
    egress,
    async start() {
      const { listen } = settings;
      await new Promise<void>((resolve, reject) => {
        server.once('error', reject);
        server.listen(listen.localPort, listen.address, resolve);
      });
      timer = setInterval(tick, TICK_MS);
    },
    async stop() {
      clearInterval(timer);
      server.close();
      server.closeAllConnections();
    },
  };
}
