// A manifest of the operator with plain routes to one service.
export const host = 'case.example';
export const apiKey = 'n2ctnfzs989anu6wsjnb';
export const tenant = 'hule930';

export const createManifest = (changes = {}) => ({
  version: 7,
  routes: [
    {
      name: 'lookup',
      hostname: host,
      path_prefix: '/lookup/',
      kind: 'safe',
      timeout_ms: 2_000,
      target_latency_ms: 141,
      priority: 2,
      service: 'desk',
      max_attempts: 2,
      public: false,
      sticky: false,
      resumable: false,
    },
    {
      name: 'filing',
      hostname: host,
      path_prefix: '/filing/',
      kind: 'unsafe',
      timeout_ms: 4_000,
      target_latency_ms: 386,
      priority: 2,
      service: 'desk',
      max_attempts: 1,
      public: false,
      sticky: false,
      resumable: false,
    },
  ],
  services: [
    { name: 'desk', health_check: '/healthz', max_connections: 96, protocol: 'h1', tls: false },
  ],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 1_048_576,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
  tenants: [{ name: tenant, api_keys: [apiKey] }],
  ...changes,
});

export const headersOf = (requestId, more = {}) => ({
  Host: host,
  'X-Comfreydrum-Request-Id': requestId,
  'X-Comfreydrum-Deadline-Ms': '2000',
  Authorization: `Bearer ${apiKey}`,
  ...more,
});
