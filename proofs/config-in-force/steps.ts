import * as testing from '@comfreydrum/testing';
import { windowMs, type Scene } from './createScene';

type Step = (scenario: Scene) => Promise<void>;

const staleMarginMs = 1_500;
const readyTimeoutMs = 10_000;
const joinTimeoutMs = 10_000;
const backTimeoutMs = 8_000;

const expectKind = (scenario: Scene, answer: testing.ApplyAnswer, kind: string) => {
  if (answer.body.kind === kind) return;
  scenario.violate(
    `expected the answer ${kind}, the operator received ${JSON.stringify(answer.body)}`,
  );
};

/** Records an accepted revision and waits until it is in force on the given daemons. */
const takeAccepted = async (
  scenario: Scene,
  answer: testing.ApplyAnswer,
  daemons = scenario.fleet.daemons,
) => {
  expectKind(scenario, answer, 'accepted');
  if (answer.body.kind !== 'accepted') return;
  scenario.setRevision(Number(answer.body.revision));
  scenario.measure('inForceMs', await scenario.observer.untilInForce(scenario.revision(), daemons));
};

const applyNext = async (scenario: Scene, daemon = scenario.pickDaemon(), among?: Daemons) =>
  takeAccepted(scenario, await scenario.apply(daemon, scenario.revision() || 'none'), among);

type Daemons = readonly testing.FleetDaemon[];

const untilReady = (daemons: Daemons) =>
  testing.waitUntil(
    async () => (await Promise.all(daemons.map((daemon) => daemon.isReady()))).every(Boolean),
    readyTimeoutMs,
    'every daemon to be ready',
  );

/** Retries an apply until the daemon has reconnected to the platform after an outage. */
const applyOnceBack: Step = async (scenario) => {
  const startMs = performance.now();
  const daemon = scenario.pickDaemon();
  let answer: testing.ApplyAnswer | undefined;
  const isAnswered = async () => {
    answer = await scenario.apply(daemon, scenario.revision());
    return answer.body.kind !== 'unavailable';
  };
  await testing
    .waitUntil(isAnswered, backTimeoutMs, 'a daemon to reconnect to the platform', 200)
    .catch((cause: unknown) => scenario.violate(String(cause)));
  scenario.measure('platformFoundBackMs', performance.now() - startMs);
  if (answer) await takeAccepted(scenario, answer);
};

/** Waits until every daemon reports every other daemon as live. */
export const untilJoined: Step = async ({ fleet }) => {
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
  await untilReady(scenario.fleet.daemons);
};

/**
 * Three operators apply concurrently with the same expected revision. One apply is accepted; the
 * others get a conflict that names its revision.
 */
export const raceOperators: Step = async (scenario) => {
  const daemons = [scenario.pickDaemon(), scenario.pickDaemon(), scenario.pickDaemon()];
  const answers = await Promise.all(
    daemons.map((daemon) => scenario.apply(daemon, scenario.revision())),
  );
  const accepted = answers.filter(({ body }) => body.kind === 'accepted');
  if (accepted.length !== 1)
    scenario.violate(`${accepted.length} of 3 concurrent applies were accepted, expected 1`);
  await takeAccepted(scenario, accepted[0] ?? answers[0]!);
  answers
    .filter((answer) => answer !== accepted[0])
    .forEach((answer) => {
      expectKind(scenario, answer, 'conflict');
      if (answer.body.winnerRevision !== scenario.revision()) {
        scenario.violate(
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
    scenario.violate(
      `the platform stores revision ${revision}, the operator received ${scenario.revision()}`,
    );
  }
};

/**
 * One daemon is isolated from its peers and the platform while a revision is applied. It must
 * become unready, and catch up once the network is restored.
 */
export const cutOffOne: Step = async (scenario) => {
  const { fleet, observer } = scenario;
  const cut = scenario.pickDaemon();
  const others = fleet.daemons.filter((daemon) => daemon !== cut);
  const isOneWay = scenario.random.fraction() < 0.5;
  scenario.note(`${cut.instanceId} is isolated${isOneWay ? ', in one direction' : ''}`);
  [...others.map(({ ip }) => ip), fleet.platform.ip].forEach((ip) => {
    fleet.proxy.change(ip, cut.ip, { isCut: true });
    if (!isOneWay) fleet.proxy.change(cut.ip, ip, { isCut: true });
  });
  const cutAtMs = performance.now();
  await applyNext(scenario, scenario.random.pick(others), others);
  await testing
    .waitUntil(
      async () => !(await cut.isReady()),
      windowMs + staleMarginMs,
      'the isolated daemon to become unready',
    )
    .catch(() =>
      scenario.violate(`${cut.instanceId} was isolated and still ready after its freshness window`),
    );
  scenario.measure('unreadyAfterCutMs', performance.now() - cutAtMs);
  const ready = await Promise.all(others.map((daemon) => daemon.isReady()));
  if (!ready.every(Boolean)) scenario.violate('a daemon that was not isolated became unready');
  if (observer.latest(cut) >= scenario.revision())
    scenario.violate('a revision reached the isolated daemon');
  fleet.proxy.heal();
  scenario.measure('caughtUpAfterHealMs', await observer.untilInForce(scenario.revision(), [cut]));
  await untilReady(fleet.daemons);
};

/** The network between the two regions is cut; both can still reach the platform. */
export const splitRegions: Step = async (scenario) => {
  const { fleet } = scenario;
  const regionOf = (daemon: testing.FleetDaemon) => fleet.daemons.indexOf(daemon) % 2;
  fleet.daemons.forEach((left) =>
    fleet.daemons
      .filter((right) => regionOf(left) !== regionOf(right))
      .forEach((right) => fleet.proxy.change(left.ip, right.ip, { isCut: true })),
  );
  await applyNext(scenario);
  fleet.proxy.heal();
  await applyNext(scenario);
};

/**
 * The platform fails during an apply, for longer than the freshness window, and one daemon restarts
 * meanwhile. The other daemons must stay ready.
 */
export const endureOutage: Step = async (scenario) => {
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
  scenario.measure('restartInOutageMs', await observer.untilInForce(before, [restarted]));
  const holds = fleet.daemons.filter((daemon) => daemon !== restarted);
  while (performance.now() - startedAtMs < windowMs + staleMarginMs) {
    const ready = await Promise.all(holds.map((daemon) => daemon.isReady()));
    if (!ready.every(Boolean)) {
      scenario.violate('a daemon became unready in an outage, although its peers agree');
      break;
    }
  }
  await fleet.platform.setFaults({ outage: 'none' });
  const answer = await pending;
  scenario.note(`the operator received ${JSON.stringify(answer.body)}`);
  if (answer.body.kind === 'accepted') await takeAccepted(scenario, answer);
  else expectKind(scenario, answer, 'unavailable');
  const [stored] = await fleet.platform.list('configuration');
  const { revision } = stored!.value as { revision: number };
  if (answer.body.written === 'no' && revision !== before) {
    scenario.violate(
      'a revision was stored although the operator was told that nothing was written',
    );
  }
  scenario.setRevision(revision);
  await applyOnceBack(scenario);
  await untilReady(fleet.daemons);
};

/** Every daemon is killed and restarted without any state. */
export const restartAll: Step = async (scenario) => {
  const { fleet, observer } = scenario;
  await Promise.all(fleet.daemons.map((daemon) => daemon.process().kill()));
  await Promise.all(fleet.daemons.map((daemon) => daemon.start()));
  scenario.measure('restartMs', await observer.untilInForce(scenario.revision(), fleet.daemons));
  await untilReady(fleet.daemons);
  await applyNext(scenario);
};
