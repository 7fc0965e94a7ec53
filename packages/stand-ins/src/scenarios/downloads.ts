import * as http from 'node:http';
import * as timers from 'node:timers/promises';
import type * as fleets from '../harness/fleet.js';
import * as targetServer from '../target/target-server.js';
import * as loadGenerator from './load.js';
import * as setup from './setup.js';
import type * as types from './types.js';

const MS_PER_SECOND = 1_000;
const MEGABYTE = 1_000_000;
const DOWNLOAD_BYTES = 200 * MEGABYTE;
const BREAK_AT_BYTES = 70 * MEGABYTE;
const MAX_MEMORY_BYTES = 256 * MEGABYTE;

interface Download {
  bytes: number;
  /** Position of the first chunk whose first byte is wrong, or -1. */
  firstWrong: number;
  isWhole: boolean;
}

function download(host: fleets.FleetHost, path: string): Promise<Download> {
  return new Promise((resolve) => {
    const result: Download = { bytes: 0, firstWrong: -1, isWhole: false };
    const request = http.get(
      {
        host: host.address,
        port: host.callerPort,
        path,
        headers: { authorization: `Bearer ${setup.API_KEY}` },
      },
      (response) => {
        response.on('data', (chunk: Buffer) => {
          // The first byte of each chunk is enough to detect a lost or duplicated part.
          const isWrong = chunk[0] !== targetServer.computeDownloadByte(result.bytes);
          if (isWrong && result.firstWrong < 0) result.firstWrong = result.bytes;
          result.bytes += chunk.byteLength;
        });
        response.on('close', () => resolve({ ...result, isWhole: response.complete }));
      },
    );
    request.on('error', () => resolve(result));
  });
}

/** Breaks a long download at its target, so that the proxy resumes it from another. */
export const brokenDownload: types.Scenario = {
  description:
    'a 200 MB download resumes where its target broke the connection, with bounded memory',
  async run(context) {
    const fleet = await setup.setUpFleet(context, { dataCentres: [0, 1] });
    try {
      const [host] = fleet.hosts;
      if (!host) throw new Error('the fleet has no hosts');
      const path = `/${fleet.topology.services[0]}/archive?download=${DOWNLOAD_BYTES}&breakAt=${BREAK_AT_BYTES}`;
      const pending = download(host, path);
      let memoryBytes = 0;
      let isFinished = false;
      const finished = pending.finally(() => {
        isFinished = true;
      });
      while (!isFinished) {
        /* eslint-disable no-await-in-loop -- one sample after the other */
        const statuses = await setup.readStatuses(fleet, fleet.hosts);
        memoryBytes = Math.max(memoryBytes, ...statuses.map((status) => status.memoryBytes));
        await timers.setTimeout(100);
        /* eslint-enable no-await-in-loop */
      }
      const result = await finished;
      const statuses = await setup.readStatuses(fleet, fleet.hosts);
      const breaks = statuses.reduce(
        (sum, { metrics }) => sum + (metrics['ingress.retries'] ?? 0),
        0,
      );
      const held =
        result.isWhole &&
        result.bytes === DOWNLOAD_BYTES &&
        result.firstWrong < 0 &&
        memoryBytes <= MAX_MEMORY_BYTES;
      return { held, faults: breaks, figures: { ...result, memoryBytes, breaks } };
    } finally {
      await fleet.stop();
    }
  },
};

export const logDownCalls: types.Scenario = {
  description: 'calls that need no order claim succeed while the log is down',
  async run(context) {
    const fleet = await setup.setUpFleet(context, { dataCentres: [0, 2] });
    try {
      const load = loadGenerator.startLoad(
        {
          ...setup.defaultLoadOptions,
          service: fleet.topology.services[0] as string,
          listHosts: fleet.listReadyHosts,
          callsPerSecond: 120,
          orderShare: 0,
        },
        context.random,
        fleet.listTargetLines,
      );
      await timers.setTimeout(MS_PER_SECOND);
      await fleet.setLogFaults({ outage: true });
      await timers.setTimeout(8 * MS_PER_SECOND);
      await fleet.setLogFaults({ outage: false });
      await timers.setTimeout(MS_PER_SECOND);
      const report = await load.stop();
      const { refused } = await fleet.readLogCounts();
      const held = loadGenerator.isConsistent(report) && report.answered === report.calls;
      return { held, faults: refused, figures: { refusedByLog: refused, ...report } };
    } finally {
      await fleet.stop();
    }
  },
};
