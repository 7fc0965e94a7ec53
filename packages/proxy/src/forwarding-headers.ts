/** Prefix of the headers between proxies, which are not forwarded from callers or targets. */
export const PROXY_HEADER_PREFIX = 'x-figshed-';

/** Hop-by-hop headers, which apply to a single connection and are not forwarded. */
export const hopByHopHeaders: readonly string[] = [
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
