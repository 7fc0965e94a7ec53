export const jsonArgument = {
  json: { type: 'boolean', description: 'Print one JSON value for scripts', default: false },
} as const;

export const logArgument = {
  log: { type: 'string', description: "URL of the platform's log (or FIGSHED_LOG_URL)" },
} as const;

export const proxyArgument = {
  proxy: {
    type: 'string',
    description: 'ADDRESS:PORT of the peer port of any proxy (or FIGSHED_PROXY)',
  },
} as const;
