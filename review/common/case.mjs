/** Runs one case of the review: its record, its verdict, its fleet, and the end of its processes. */
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as runtime from '@figshed/runtime';
import * as standIns from '@figshed/stand-ins';
import * as platform from './platform.mjs';

const EXIT_HELD = 0;
/** Other than the code of a script that fails; `run-case.sh` exits with 1 for it. */
const EXIT_BROKEN = 10;
const EXIT_NOT_RUN = 2;
const TIME_LIMIT_MS = 100_000;
const LOWEST_OCTET = 100;
const OCTETS = 100;
const PROBED_PORT = 21_000;
const OWN_UPSTREAM_OFFSET = 100;

/** Settings of the processes beyond those of the stand-in fleet, as the deploy file fills them in. */
const settings = {
  linkMbps: 1_000,
  applyWithinMs: 2_000,
  retries: { ratio: 0.2, reserve: 56 },
};

function isFree(octet) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(PROBED_PORT, `127.0.${octet}.1`, () => server.close(() => resolve(true)));
  });
}

/** Returns the third octet of loopback addresses that no other fleet uses. */
async function chooseOctet() {
  const first = Math.floor(Math.random() * OCTETS);
  for (let offset = 0; offset < OCTETS; offset += 1) {
    const octet = LOWEST_OCTET + ((first + offset) % OCTETS);
    // eslint-disable-next-line no-await-in-loop -- one candidate after another
    if (await isFree(octet)) return octet;
  }
  throw new Error('no free loopback addresses');
}

const exit = (code) => {
  // eslint-disable-next-line n/no-process-exit -- connections of callers may still be open
  process.exit(code);
};

/** Starts a fleet with the command of the deploy file and waits until it is ready. */
async function startFleet({ hosts, slots, config, hasOwnUpstreams = false }) {
  const fleet = await standIns.startMeshFleet({
    thirdOctet: await chooseOctet(),
    hosts,
    slots,
    random: runtime.createSeededRandom(1),
    settings,
    // Leaves the announced port of the targets to the upstreams of the case.
    ...(hasOwnUpstreams ? { targetPortOffset: OWN_UPSTREAM_OFFSET } : {}),
  });
  try {
    fleet.publish(config);
    await fleet.waitUntilReady();
  } catch (error) {
    await fleet.close();
    throw error;
  }
  return fleet;
}

/** Describes hosts in three data centres of one region, one for each name of a service. */
export const listHosts = (services) =>
  services.map((service, index) => ({
    service,
    dataCentre: ['kita-a', 'kita-b', 'kita-c'][index % 3],
    region: 'kita',
  }));

/**
 * Runs a case, with its disruption if `hasTrouble` is set, and exits. `run` receives the fleet, a
 * function that writes a line of the record, and the watch of the platform; it returns what broke the
 * rule, one text for each breach.
 */
export async function runCase(options, run) {
  const startedAt = performance.now();
  const stream = fs.createWriteStream('record.txt');
  const record = (event, details = {}) => {
    const at = ((performance.now() - startedAt) / 1_000).toFixed(3);
    stream.write(`${at} ${event} ${JSON.stringify(details)}\n`);
  };
  record('start', { trouble: options.hasTrouble });
  let fleet;
  let watch;
  const end = async (code) => {
    watch?.stop();
    await fleet?.close();
    await new Promise((resolve) => {
      stream.end(resolve);
    });
    exit(code);
  };
  const fail = (error) => {
    record('not-run', { message: error.stack });
    process.stdout.write(`not run: ${error.message}\n`);
    return end(EXIT_NOT_RUN);
  };
  process.once('uncaughtException', fail);
  process.once('unhandledRejection', fail);
  process.once('SIGTERM', () => fail(new Error('stopped from outside')));
  setTimeout(() => fail(new Error('time limit')), TIME_LIMIT_MS);
  try {
    fleet = await startFleet(options);
    watch = platform.watchFleet(fleet, record);
    const breaches = await run(fleet, record, watch);
    watch.stop();
    breaches.forEach((breach) => record('breach', { breach }));
    record('verdict', { broken: breaches.length > 0, breaches: breaches.length });
    process.stdout.write(
      breaches.length > 0 ? `broken: ${breaches.slice(0, 3).join('; ')}\n` : 'held\n',
    );
    await end(breaches.length > 0 ? EXIT_BROKEN : EXIT_HELD);
  } catch (error) {
    await fail(error);
  }
}
