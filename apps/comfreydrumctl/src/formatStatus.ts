import type * as admin from '@comfreydrum/admin';
import { formatPlatform } from './formatPlatform';
import { formatTable } from './formatTable';
import { formatTraffic } from './formatTraffic';

const bytesPerMegabyte = 1_048_576;

const formatDaemons = ({ daemons, unreachable }: admin.FleetStatus): string =>
  formatTable(
    ['DAEMON', 'DOMAIN', 'READY', 'OPEN', 'MEMORY', 'REVISIONS'],
    [
      ...daemons.map((daemon) => [
        daemon.instanceId,
        daemon.failureDomain,
        daemon.ready ? 'yes' : `no: ${daemon.reason}`,
        String(daemon.openRequests),
        `${Math.round(daemon.memoryBytes / bytesPerMegabyte)} MB`,
        Object.entries(daemon.revisions)
          .map(([team, revision]) => `${team}=${revision}`)
          .join(' '),
      ]),
      ...unreachable.map(({ instanceId, message }) => [instanceId, '', `no answer: ${message}`]),
    ],
  );

const formatGroups = ({ daemons }: admin.FleetStatus): string =>
  formatTable(
    ['GROUP', 'MODEL', 'VERSION', 'PHASE', 'GENERATION', 'EVIDENCE', 'MEMBERS'],
    (daemons[0]?.groups ?? []).map((group) => [
      group.groupId,
      `${group.team}/${group.modelName}`,
      group.modelVersion,
      group.phase,
      String(group.generation),
      group.evidenceAgeMs === null ? 'none' : `${Math.round(group.evidenceAgeMs)} ms`,
      group.members.map(({ instanceId }) => instanceId).join(' '),
    ]),
  );

/** Formats the status of the fleet as tables. */
export const formatStatus = (fleet: admin.FleetStatus): string => {
  const strandedIds = (fleet.daemons[0]?.stranded ?? []).map(({ instanceId }) => instanceId);
  return [
    formatDaemons(fleet),
    formatPlatform(fleet.daemons),
    formatTraffic(fleet.daemons),
    formatGroups(fleet),
    `instances in no group: ${strandedIds.length === 0 ? 'none' : strandedIds.join(' ')}`,
  ].join('\n\n');
};
