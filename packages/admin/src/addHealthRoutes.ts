import type * as tinyhttp from '@tinyhttp/app';
import type { AdminDependencies } from './AdminDependencies';

/** Adds the health and metrics routes, which require no token. */
export const addHealthRoutes = (app: tinyhttp.App, dependencies: AdminDependencies): void => {
  app.get('/livez', (_request, response) => {
    response.status(200).end('live\n');
  });
  app.get('/readyz', (_request, response) => {
    const { ready, reason } = dependencies.readiness();
    response.status(ready ? 200 : 503).end(`${reason}\n`);
  });
  app.get('/metrics', async (_request, response) => {
    response.setHeader('content-type', 'text/plain; version=0.0.4');
    response.end(await dependencies.metrics.render());
  });
};
