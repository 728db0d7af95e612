import type * as tinyhttp from '@tinyhttp/app';
import type { AdminDependencies } from './AdminDependencies';
import { createFleetView } from './createFleetView';

/**
 * Adds the routes that report the status of this daemon and of the fleet, and that drain this
 * daemon.
 */
export const addFleetRoutes = (app: tinyhttp.App, dependencies: AdminDependencies): void => {
  const fleet = createFleetView(dependencies);

  app.get('/v1/status', (_request, response) => {
    response.json(dependencies.status());
  });
  app.get('/v1/fleet', async (_request, response) => {
    response.json(await fleet.status());
  });
  app.get('/v1/timeline', async (request, response) => {
    const { requestId } = request.query;
    response.json(await fleet.timeline(typeof requestId === 'string' ? requestId : undefined));
  });
  app.post('/v1/drain', (_request, response) => {
    dependencies.drain();
    response.json({ draining: true });
  });
};
