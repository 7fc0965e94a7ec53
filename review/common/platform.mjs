/** The part of the platform that watches the processes: restarts those that end, stops those too large. */
import * as fs from 'node:fs/promises';

const RESTART_DELAY_MS = 500;
const MEMORY_INTERVAL_MS = 20;
const KILOBYTES_PER_MB = 1_024;

async function readMemoryMb(pid) {
  try {
    const status = await fs.readFile(`/proc/${pid}/status`, 'utf8');
    return Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0) / KILOBYTES_PER_MB;
  } catch {
    return 0;
  }
}

/**
 * Watches the processes of a fleet until `stop`. A process that exits is started again; one that exceeds
 * `memoryMb` is killed.
 */
export function watchFleet(fleet, record, { memoryMb = Number.POSITIVE_INFINITY } = {}) {
  const ends = [];
  const peaksMb = {};
  const restarts = new Set();
  let isStopped = false;
  const watchProcess = (host) => {
    const { child } = host;
    child.once('exit', (code, signal) => {
      if (isStopped) return;
      const error = /message="((?:[^"\\]|\\.)*)"/.exec(
        host.lines.findLast((line) => /uncaught-exception|unhandled-rejection/.test(line)) ?? '',
      )?.[1];
      ends.push({ host: host.name, code, signal });
      record('process-ended', { host: host.name, code, signal, error });
      const timer = setTimeout(() => {
        restarts.delete(timer);
        host.start();
        record('process-started', { host: host.name });
        watchProcess(host);
      }, RESTART_DELAY_MS);
      restarts.add(timer);
    });
  };
  fleet.hosts.forEach(watchProcess);
  const checkMemory = async ({ name, child }) => {
    if (child.exitCode !== null || child.signalCode !== null) return;
    const usedMb = Math.round(await readMemoryMb(child.pid));
    peaksMb[name] = Math.max(peaksMb[name] ?? 0, usedMb);
    if (isStopped || usedMb <= memoryMb) return;
    record('memory-exceeded', { host: name, usedMb, memoryMb });
    child.kill('SIGKILL');
  };
  const memoryTimer = setInterval(
    () => Promise.all(fleet.hosts.map(checkMemory)),
    MEMORY_INTERVAL_MS,
  );
  return {
    ends,
    peaksMb,
    stop() {
      isStopped = true;
      clearInterval(memoryTimer);
      restarts.forEach((timer) => clearTimeout(timer));
    },
  };
}
