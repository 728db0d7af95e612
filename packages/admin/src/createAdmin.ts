import * as http from 'node:http';
import * as https from 'node:https';
import * as tinyhttp from '@tinyhttp/app';
import * as errors from '@comfreydrum/errors';
import * as lifecycle from '@comfreydrum/lifecycle';
import * as telemetry from '@comfreydrum/telemetry';
import { addConfigurationRoutes } from './addConfigurationRoutes';
import { addFleetRoutes } from './addFleetRoutes';
import { addHealthRoutes } from './addHealthRoutes';
import { addLedgerRoutes } from './addLedgerRoutes';
import type { AdminDependencies } from './AdminDependencies';
import { createAdminAuthorizer } from './createAdminAuthorizer';

const createApp = (dependencies: AdminDependencies): tinyhttp.App => {
  const authorizer = createAdminAuthorizer(dependencies.tokens);
  const app = new tinyhttp.App({
    settings: { xPoweredBy: false },
    onError: (cause, _request, response) => {
      const details = { cause: errors.describeCause(cause), step: 'admin' };
      dependencies.log.error(details, 'admin request failed');
      if (!response.headersSent) {
        response.writeHead(500, { 'content-type': 'application/json' });
      }
      response.end(JSON.stringify({ error: { code: 'internal_error', message: 'see the log' } }));
    },
  });

  addHealthRoutes(app, dependencies);
  app.use((request, response, next) => {
    if (!request.path.startsWith('/v1/') || authorizer.isOperator(request)) next?.();
    else authorizer.sendForbidden(response, 'use the administration interface');
  });
  addFleetRoutes(app, dependencies);
  addConfigurationRoutes(app, dependencies.configuration, authorizer);
  addLedgerRoutes(app, dependencies.ledger, authorizer);
  return app;
};

/** Creates the administration interface of a daemon; it listens once the component is started. */
export const createAdmin = (dependencies: AdminDependencies): lifecycle.Component => {
  const { listen, tls } = dependencies;
  const app = createApp(dependencies);
  const handler = app.handler.bind(app) as unknown as http.RequestListener;
  const server = tls
    ? https.createServer({ cert: tls.certificate, key: tls.key }, handler)
    : http.createServer(handler);
  server.on('tlsClientError', telemetry.createTlsFailureCounter(dependencies.metrics, 'admin'));

  return {
    name: 'admin',
    start: () => lifecycle.listen(server, listen),
    stop: () =>
      new Promise<void>((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
};
