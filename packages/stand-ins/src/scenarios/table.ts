/** Every scenario by its name. */
import * as configuration from './configuration.js';
import type * as types from './types.js';

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
};
