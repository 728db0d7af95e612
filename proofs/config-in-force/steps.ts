import * as testing from '@comfreydrum/testing';
import { freshnessWindowMs, type Scenario } from './createScenario';

type Step = (scenario: Scenario) => Promise<void>;

const unreadyMarginMs = 1_500;
const readyTimeoutMs = 10_000;
const joinTimeoutMs = 10_000;
const reconnectTimeoutMs = 8_000;

const checkAnswerKind = (scenario: Scenario, answer: testing.ApplyResponse, kind: string) => {
  if (answer.body.kind === kind) return;
  scenario.recordViolation(
    `expected the answer ${kind}, the operator received ${JSON.stringify(answer.body)}`,
  );
};

/** Records an accepted revision and waits until it is in force on the given daemons. */
const recordAccepted = async (
  scenario: Scenario,
  answer: testing.ApplyResponse,
  daemons = scenario.fleet.daemons,
) => {
  checkAnswerKind(scenario, answer, 'accepted');
  if (answer.body.kind !== 'accepted') return;
  scenario.setRevision(Number(answer.body.revision));
  scenario.recordMaximum(
    'inForceMs',
    await scenario.observer.waitUntilInForce(scenario.revision(), daemons),
  );
};

const applyNext = async (scenario: Scenario, daemon = scenario.pickDaemon(), among?: Daemons) =>
  recordAccepted(scenario, await scenario.apply(daemon, scenario.revision() || 'none'), among);

type Daemons = readonly testing.FleetDaemon[];

const waitUntilReady = (daemons: Daemons) =>
  testing.waitUntil(
    async () => (await Promise.all(daemons.map((daemon) => daemon.isReady()))).every(Boolean),
    readyTimeoutMs,
    'every daemon to be ready',
  );

/** Retries an apply until the daemon has reconnected to the platform after an outage. */
const applyAfterOutage: Step = async (scenario) => {
  const startMs = performance.now();
  const daemon = scenario.pickDaemon();
  let answer: testing.ApplyResponse | undefined;
  const isAnswered = async () => {
    answer = await scenario.apply(daemon, scenario.revision());
    return answer.body.kind !== 'unavailable';
  };
  await testing
    .waitUntil(isAnswered, reconnectTimeoutMs, 'a daemon to reconnect to the platform', 200)
    .catch((cause: unknown) => scenario.recordViolation(String(cause)));
  scenario.recordMaximum('platformFoundBackMs', performance.now() - startMs);
  if (answer) await recordAccepted(scenario, answer);
};

/** Waits until every daemon reports every other daemon as live. */
export const waitUntilJoined: Step = async ({ fleet }) => {
  const sees = async (daemon: testing.FleetDaemon) => {
    const { peers } = (await daemon.read('v1/status')) as { peers: { state: string }[] };
    return peers.filter(({ state }) => state === 'live').length === fleet.daemons.length;
  };
  await testing.waitUntil(
    async () => (await Promise.all(fleet.daemons.map(sees))).every(Boolean),
    joinTimeoutMs,
    'every daemon to report every other as live',
  );
};

export const applyFirst: Step = async (scenario) => {
  await applyNext(scenario);
  await waitUntilReady(scenario.fleet.daemons);
};

/**
 * Three operators apply concurrently with the same expected revision. One apply is accepted; the
 * others get a conflict that names its revision.
 */
export const applyConcurrently: Step = async (scenario) => {
  const daemons = [scenario.pickDaemon(), scenario.pickDaemon(), scenario.pickDaemon()];
  const answers = await Promise.all(
    daemons.map((daemon) => scenario.apply(daemon, scenario.revision())),
  );
  const accepted = answers.filter(({ body }) => body.kind === 'accepted');
  if (accepted.length !== 1)
    scenario.recordViolation(
      `${accepted.length} of 3 concurrent applies were accepted, expected 1`,
    );
  await recordAccepted(scenario, accepted[0] ?? answers[0]!);
  answers
    .filter((answer) => answer !== accepted[0])
    .forEach((answer) => {
      checkAnswerKind(scenario, answer, 'conflict');
      if (answer.body.winnerRevision !== scenario.revision()) {
        scenario.recordViolation(
          `a rejected apply was told the wrong revision, ${String(answer.body.winnerRevision)}`,
        );
      }
    });
};

/** The platform loses the answers to writes, and applies the writes either at once or late. */
export const loseAnswers: Step = async (scenario) => {
  const count = scenario.random.integer(1, 2);
  const loss = { count, methods: ['PUT'], kinds: ['configuration'] };
  const isLate = scenario.random.fraction() < 0.5;
  scenario.note(`${count} answers lost, writes applied ${isLate ? 'late' : 'at once'}`);
  const afterMs = scenario.random.integer(50, 1_000);
  await scenario.fleet.platform.setFaults(
    isLate ? { lateWrites: { ...loss, afterMs } } : { loseAnswers: loss },
  );
  await applyNext(scenario);
  const [stored] = await scenario.fleet.platform.list('configuration');
  const { revision } = stored!.value as { revision: number };
  if (revision !== scenario.revision()) {
    scenario.recordViolation(
      `the platform stores revision ${revision}, the operator received ${scenario.revision()}`,
    );
  }
};

/**
 * One daemon is isolated from its peers and the platform while a revision is applied. It must
 * become unready, and catch up once the network is restored.
 */
export const isolateOneDaemon: Step = async (scenario) => {
  const { fleet, observer } = scenario;
  const isolated = scenario.pickDaemon();
  const others = fleet.daemons.filter((daemon) => daemon !== isolated);
  const isOneWay = scenario.random.fraction() < 0.5;
  scenario.note(`${isolated.instanceId} is isolated${isOneWay ? ', in one direction' : ''}`);
  [...others.map(({ ip }) => ip), fleet.platform.ip].forEach((ip) => {
    fleet.proxy.updateLinkFault(ip, isolated.ip, { isCut: true });
    if (!isOneWay) fleet.proxy.updateLinkFault(isolated.ip, ip, { isCut: true });
  });
  const isolatedAtMs = performance.now();
  await applyNext(scenario, scenario.random.pick(others), others);
  await testing
    .waitUntil(
      async () => !(await isolated.isReady()),
      freshnessWindowMs + unreadyMarginMs,
      'the isolated daemon to become unready',
    )
    .catch(() =>
      scenario.recordViolation(
        `${isolated.instanceId} was isolated and still ready after its freshness window`,
      ),
    );
  scenario.recordMaximum('unreadyAfterCutMs', performance.now() - isolatedAtMs);
  const ready = await Promise.all(others.map((daemon) => daemon.isReady()));
  if (!ready.every(Boolean))
    scenario.recordViolation('a daemon that was not isolated became unready');
  if (observer.latest(isolated) >= scenario.revision())
    scenario.recordViolation('a revision reached the isolated daemon');
  fleet.proxy.heal();
  scenario.recordMaximum(
    'caughtUpAfterHealMs',
    await observer.waitUntilInForce(scenario.revision(), [isolated]),
  );
  await waitUntilReady(fleet.daemons);
};

/** The network between the two regions is cut; both can still reach the platform. */
export const partitionRegions: Step = async (scenario) => {
  const { fleet } = scenario;
  const regionOf = (daemon: testing.FleetDaemon) => fleet.daemons.indexOf(daemon) % 2;
  fleet.daemons.forEach((left) =>
    fleet.daemons
      .filter((right) => regionOf(left) !== regionOf(right))
      .forEach((right) => fleet.proxy.updateLinkFault(left.ip, right.ip, { isCut: true })),
  );
  await applyNext(scenario);
  fleet.proxy.heal();
  await applyNext(scenario);
};

/**
 * The platform fails during an apply, for longer than the freshness window, and one daemon restarts
 * meanwhile. The other daemons must stay ready.
 */
export const applyDuringOutage: Step = async (scenario) => {
  const { fleet, observer } = scenario;
  const outage = scenario.random.pick(['refuse', 'hang'] as const);
  scenario.note(`outage: ${outage}`);
  const before = scenario.revision();
  const applier = scenario.pickDaemon();
  const restarted = scenario.random.pick(fleet.daemons.filter((daemon) => daemon !== applier));
  const pending = scenario.apply(applier, before);
  await new Promise((resolve) => {
    setTimeout(resolve, scenario.random.integer(0, 8));
  });
  await fleet.platform.setFaults({ outage });
  const startedAtMs = performance.now();
  await restarted.process().kill();
  await restarted.start();
  scenario.recordMaximum('restartInOutageMs', await observer.waitUntilInForce(before, [restarted]));
  const running = fleet.daemons.filter((daemon) => daemon !== restarted);
  while (performance.now() - startedAtMs < freshnessWindowMs + unreadyMarginMs) {
    const ready = await Promise.all(running.map((daemon) => daemon.isReady()));
    if (!ready.every(Boolean)) {
      scenario.recordViolation('a daemon became unready in an outage, although its peers agree');
      break;
    }
  }
  await fleet.platform.setFaults({ outage: 'none' });
  const answer = await pending;
  scenario.note(`the operator received ${JSON.stringify(answer.body)}`);
  if (answer.body.kind === 'accepted') await recordAccepted(scenario, answer);
  else checkAnswerKind(scenario, answer, 'unavailable');
  const [stored] = await fleet.platform.list('configuration');
  const { revision } = stored!.value as { revision: number };
  if (answer.body.written === 'no' && revision !== before) {
    scenario.recordViolation(
      'a revision was stored although the operator was told that nothing was written',
    );
  }
  scenario.setRevision(revision);
  await applyAfterOutage(scenario);
  await waitUntilReady(fleet.daemons);
};

/** Every daemon is killed and restarted without any state. */
export const restartAll: Step = async (scenario) => {
  const { fleet, observer } = scenario;
  await Promise.all(fleet.daemons.map((daemon) => daemon.process().kill()));
  await Promise.all(fleet.daemons.map((daemon) => daemon.start()));
  scenario.recordMaximum(
    'restartMs',
    await observer.waitUntilInForce(scenario.revision(), fleet.daemons),
  );
  await waitUntilReady(fleet.daemons);
  await applyNext(scenario);
};
