import type * as types from './types.js';

export const membershipDefaults: types.MembershipOptions = {
  pingIntervalMs: 500,
  pingTimeoutMs: 200,
  suspicionMs: 2_000,
  forgetMs: 600_000,
  indirectPings: 3,
  maxPiggyback: 5,
  retransmitFactor: 3,
};
