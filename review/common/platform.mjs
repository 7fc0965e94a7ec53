/** The part of the platform that restarts the processes that end. */

const RESTART_DELAY_MS = 500;

function findError(lines) {
  const line = lines.findLast((text) => /uncaught-exception|unhandled-rejection/.test(text));
  return /message="((?:[^"\\]|\\.)*)"/.exec(line ?? '')?.[1];
}

/** Watches the processes of a fleet until `stop`; a process that exits is started again. */
export function watchFleet(fleet, record) {
  const ends = [];
  const restarts = new Set();
  let isStopped = false;
  const watchProcess = (host) => {
    host.child.once('exit', (code, signal) => {
      if (isStopped) return;
      ends.push({ host: host.name, code, signal });
      record('process-ended', { host: host.name, code, signal, error: findError(host.lines) });
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
  return {
    ends,
    stop() {
      isStopped = true;
      restarts.forEach((timer) => clearTimeout(timer));
    },
  };
}
