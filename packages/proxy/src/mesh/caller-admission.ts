/** Decides whether a call may run at all, before any work is done for it: by its account and key. */
import type * as http from 'node:http';
import * as mesh from '@figshed/core/mesh';
import type * as configurationTask from './configuration-task.js';
import * as constants from './constants.js';
import type * as context from './context.js';
import * as quotas from './quota.js';

export interface AdmissionRequest {
  headers: http.IncomingHttpHeaders;
  route: mesh.RoutePolicy;
  /** Accounts of the version in force; undefined if callers need no keys. */
  accounts: mesh.AccountTable | undefined;
}

export type AdmissionVerdict =
  | { type: 'admitted'; account: mesh.ClientAccount | undefined }
  | {
      type: 'refused';
      status: number;
      cause: string;
      retryAfterMs: number;
      /** Name of the account, if it is known. */
      account?: string;
      /** Age of the proof that the version in force is the newest; undefined if it does not matter. */
      proofAgeMs?: number;
      /** What the quota has decided by, for the log. */
      quota?: Omit<mesh.QuotaRefusal, 'retryAfterMs'>;
    };

export interface CallerAdmission {
  /** Decides at once, or waits for what the quota of the account depends on. */
  admit(request: AdmissionRequest): AdmissionVerdict | Promise<AdmissionVerdict>;
}

export interface CallerAdmissionInput {
  ctx: context.MeshContext;
  configuration: Pick<configurationTask.ConfigurationTask, 'checkUnknownRoute' | 'getProofAgeMs'>;
  quota: quotas.Quota;
}

/** Subtracted from the bound on withdrawn keys, for the time from this check until the call is sent. */
const REVOCATION_MARGIN_MS = 250;
/** When a call without a proof can be repeated, as a share of the bound; about one read of the source. */
const PROOF_RETRY_SHARE = 0.1;

/** The key is the only part of the header that may contain no space. */
function readApiKey(
  headers: http.IncomingHttpHeaders,
  { keyHeader, keyScheme }: context.MeshContext['protocol'],
): string | undefined {
  const header = headers[keyHeader];
  if (typeof header !== 'string') return undefined;
  const [scheme = '', key, ...rest] = header.trim().split(/ +/);
  return scheme.toLowerCase() === keyScheme.toLowerCase() && rest.length === 0 ? key : undefined;
}

/**
 * Creates the admission of calls.
 *
 * @example
 * const admission = createCallerAdmission({ ctx, configuration, quota });
 * const verdict = await admission.admit({ headers, route, accounts });
 */
export function createCallerAdmission(input: CallerAdmissionInput): CallerAdmission {
  const { ctx, configuration, quota } = input;
  const { settings, protocol } = ctx;

  /** A version that may not be the newest cannot tell that a key is unknown. */
  const refuseUnknownKey = (): AdmissionVerdict => {
    const verdict = configuration.checkUnknownRoute();
    return verdict.type === 'absent'
      ? {
          type: 'refused',
          status: constants.HTTP.unauthorized,
          cause: 'unknown-key',
          retryAfterMs: 0,
        }
      : {
          type: 'refused',
          status: constants.HTTP.unavailable,
          cause: 'unconfirmed-key',
          retryAfterMs: verdict.retryAfterMs,
        };
  };

  const checkProof = (account: mesh.ClientAccount): AdmissionVerdict | undefined => {
    if (settings.revokeWithinMs === undefined) return undefined;
    const proofAgeMs = configuration.getProofAgeMs();
    if (proofAgeMs <= settings.revokeWithinMs - REVOCATION_MARGIN_MS) return undefined;
    return {
      type: 'refused',
      status: constants.HTTP.unavailable,
      cause: 'no-proof',
      retryAfterMs: PROOF_RETRY_SHARE * settings.revokeWithinMs,
      account: account.name,
      proofAgeMs,
    };
  };

  const decideQuota = (
    account: mesh.ClientAccount,
    verdict: quotas.QuotaVerdict,
  ): AdmissionVerdict => {
    if (verdict.type === 'admitted') return { type: 'admitted', account };
    const { type, retryAfterMs, ...quotaDetails } = verdict;
    return {
      type: 'refused',
      status: quotas.statusByVerdict[type],
      cause: type,
      retryAfterMs,
      account: account.name,
      quota: quotaDetails,
    };
  };

  return {
    admit({ headers, route, accounts }) {
      if (!accounts) return { type: 'admitted', account: undefined };
      const identity = mesh.identifyCaller(accounts, {
        apiKey: readApiKey(headers, protocol),
        isPublic: route.isPublic === true,
      });
      if (identity.type === 'unknown') return refuseUnknownKey();
      const { account } = identity;
      if (!account) return { type: 'admitted', account: undefined };
      const refusal = checkProof(account);
      if (refusal) return refusal;
      const verdict = quota.admit(account);
      return verdict instanceof Promise
        ? verdict.then((later) => decideQuota(account, later))
        : decideQuota(account, verdict);
    },
  };
}
