import * as configuration from './configuration.js';
import * as contracts from './contracts.js';
import * as downloads from './downloads.js';
import * as lifecycle from './lifecycle.js';
import * as orders from './orders.js';
import type * as types from './types.js';

/** All scenarios, by the name on the command line. */
export const scenarios: Readonly<Record<string, types.Scenario>> = {
  'no-version-regress': configuration.noVersionRegress,
  'no-dangling-route': configuration.noDanglingRoute,
  'whole-version': configuration.wholeVersion,
  'operator-race': configuration.operatorRace,
  'log-outage': configuration.logOutage,
  partition: configuration.partition,
  'herd-restart': configuration.herdRestart,
  'frozen-proxy': configuration.frozenProxy,
  'lost-append-answer': configuration.lostAppendAnswer,
  'own-answer': orders.ownAnswer,
  'not-run-means-not-run': orders.notRunMeansNotRun,
  'at-most-once': orders.atMostOnce,
  'order-repeat': orders.orderRepeat,
  'silent-connection': orders.silentConnection,
  drain: lifecycle.drain,
  'graceful-stop': lifecycle.gracefulStop,
  'poison-request': lifecycle.poisonRequest,
  'target-crash': lifecycle.targetCrash,
  'contract-limits': contracts.contractLimits,
  overload: contracts.overload,
  download: downloads.brokenDownload,
  'log-down-calls': downloads.logDownCalls,
  'cancelled-and-late': lifecycle.cancelledAndLate,
};
