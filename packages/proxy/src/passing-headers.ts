/** Which headers may pass a proxy, on every path of calls. */

/** Prefix of the headers between proxies; callers and targets can neither set nor see them. */
export const PRIVATE_PREFIX = 'x-figshed-';

/** Headers that concern one connection only. */
export const connectionHeaders: readonly string[] = [
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
];
