import * as testing from '@comfreydrum/testing';
import { windowMs, type Scene } from './createScene';

type Step = (scene: Scene) => Promise<void>;

const staleMarginMs = 1_500;
const readyTimeoutMs = 10_000;
const joinTimeoutMs = 10_000;
const backTimeoutMs = 8_000;

const expectKind = (scene: Scene, answer: testing.ApplyAnswer, kind: string) => {
  if (answer.body.kind === kind) return;
  scene.violate(
    `expected the answer ${kind}, the operator received ${JSON.stringify(answer.body)}`,
  );
};

/** Records an accepted revision and waits until it is in force on the given daemons. */
const takeAccepted = async (
  scene: Scene,
  answer: testing.ApplyAnswer,
  daemons = scene.fleet.daemons,
) => {
  expectKind(scene, answer, 'accepted');
  if (answer.body.kind !== 'accepted') return;
  scene.setRevision(Number(answer.body.revision));
  scene.measure('inForceMs', await scene.observer.untilInForce(scene.revision(), daemons));
};

const applyNext = async (scene: Scene, daemon = scene.pickDaemon(), among?: Daemons) =>
  takeAccepted(scene, await scene.apply(daemon, scene.revision() || 'none'), among);

type Daemons = readonly testing.FleetDaemon[];

const untilReady = (daemons: Daemons) =>
  testing.waitUntil(
    async () => (await Promise.all(daemons.map((daemon) => daemon.isReady()))).every(Boolean),
    readyTimeoutMs,
    'every daemon to be ready',
  );

/** Retries an apply until the daemon has reconnected to the platform after an outage. */
const applyOnceBack: Step = async (scene) => {
  const startMs = performance.now();
  const daemon = scene.pickDaemon();
  let answer: testing.ApplyAnswer | undefined;
  const isAnswered = async () => {
    answer = await scene.apply(daemon, scene.revision());
    return answer.body.kind !== 'unavailable';
  };
  await testing
    .waitUntil(isAnswered, backTimeoutMs, 'a daemon to reconnect to the platform', 200)
    .catch((cause: unknown) => scene.violate(String(cause)));
  scene.measure('platformFoundBackMs', performance.now() - startMs);
  if (answer) await takeAccepted(scene, answer);
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

export const applyFirst: Step = async (scene) => {
  await applyNext(scene);
  await untilReady(scene.fleet.daemons);
};

/**
 * Three operators apply concurrently with the same expected revision. One apply is accepted; the
 * others get a conflict that names its revision.
 */
export const raceOperators: Step = async (scene) => {
  const daemons = [scene.pickDaemon(), scene.pickDaemon(), scene.pickDaemon()];
  const answers = await Promise.all(daemons.map((daemon) => scene.apply(daemon, scene.revision())));
  const accepted = answers.filter(({ body }) => body.kind === 'accepted');
  if (accepted.length !== 1)
    scene.violate(`${accepted.length} of 3 concurrent applies were accepted, expected 1`);
  await takeAccepted(scene, accepted[0] ?? answers[0]!);
  answers
    .filter((answer) => answer !== accepted[0])
    .forEach((answer) => {
      expectKind(scene, answer, 'conflict');
      if (answer.body.winnerRevision !== scene.revision()) {
        scene.violate(
          `a rejected apply was told the wrong revision, ${String(answer.body.winnerRevision)}`,
        );
      }
    });
};

/** The platform loses the answers to writes, and applies the writes either at once or late. */
export const loseAnswers: Step = async (scene) => {
  const count = scene.random.integer(1, 2);
  const loss = { count, methods: ['PUT'], kinds: ['configuration'] };
  const isLate = scene.random.fraction() < 0.5;
  scene.note(`${count} answers lost, writes applied ${isLate ? 'late' : 'at once'}`);
  const afterMs = scene.random.integer(50, 1_000);
  await scene.fleet.platform.setFaults(
    isLate ? { lateWrites: { ...loss, afterMs } } : { loseAnswers: loss },
  );
  await applyNext(scene);
  const [stored] = await scene.fleet.platform.list('configuration');
  const { revision } = stored!.value as { revision: number };
  if (revision !== scene.revision()) {
    scene.violate(
      `the platform stores revision ${revision}, the operator received ${scene.revision()}`,
    );
  }
};

/**
 * One daemon is isolated from its peers and the platform while a revision is applied. It must
 * become unready, and catch up once the network is restored.
 */
export const cutOffOne: Step = async (scene) => {
  const { fleet, observer } = scene;
  const cut = scene.pickDaemon();
  const others = fleet.daemons.filter((daemon) => daemon !== cut);
  const isOneWay = scene.random.fraction() < 0.5;
  scene.note(`${cut.instanceId} is isolated${isOneWay ? ', in one direction' : ''}`);
  [...others.map(({ ip }) => ip), fleet.platform.ip].forEach((ip) => {
    fleet.proxy.change(ip, cut.ip, { isCut: true });
    if (!isOneWay) fleet.proxy.change(cut.ip, ip, { isCut: true });
  });
  const cutAtMs = performance.now();
  await applyNext(scene, scene.random.pick(others), others);
  await testing
    .waitUntil(
      async () => !(await cut.isReady()),
      windowMs + staleMarginMs,
      'the isolated daemon to become unready',
    )
    .catch(() =>
      scene.violate(`${cut.instanceId} was isolated and still ready after its freshness window`),
    );
  scene.measure('unreadyAfterCutMs', performance.now() - cutAtMs);
  const ready = await Promise.all(others.map((daemon) => daemon.isReady()));
  if (!ready.every(Boolean)) scene.violate('a daemon that was not isolated became unready');
  if (observer.latest(cut) >= scene.revision())
    scene.violate('a revision reached the isolated daemon');
  fleet.proxy.heal();
  scene.measure('caughtUpAfterHealMs', await observer.untilInForce(scene.revision(), [cut]));
  await untilReady(fleet.daemons);
};

/** The network between the two regions is cut; both can still reach the platform. */
export const splitRegions: Step = async (scene) => {
  const { fleet } = scene;
  const regionOf = (daemon: testing.FleetDaemon) => fleet.daemons.indexOf(daemon) % 2;
  fleet.daemons.forEach((left) =>
    fleet.daemons
      .filter((right) => regionOf(left) !== regionOf(right))
      .forEach((right) => fleet.proxy.change(left.ip, right.ip, { isCut: true })),
  );
  await applyNext(scene);
  fleet.proxy.heal();
  await applyNext(scene);
};

/**
 * The platform fails during an apply, for longer than the freshness window, and one daemon restarts
 * meanwhile. The other daemons must stay ready.
 */
export const endureOutage: Step = async (scene) => {
  const { fleet, observer } = scene;
  const outage = scene.random.pick(['refuse', 'hang'] as const);
  scene.note(`outage: ${outage}`);
  const before = scene.revision();
  const applier = scene.pickDaemon();
  const restarted = scene.random.pick(fleet.daemons.filter((daemon) => daemon !== applier));
  const pending = scene.apply(applier, before);
  await new Promise((resolve) => {
    setTimeout(resolve, scene.random.integer(0, 8));
  });
  await fleet.platform.setFaults({ outage });
  const startedAtMs = performance.now();
  await restarted.process().kill();
  await restarted.start();
  scene.measure('restartInOutageMs', await observer.untilInForce(before, [restarted]));
  const holds = fleet.daemons.filter((daemon) => daemon !== restarted);
  while (performance.now() - startedAtMs < windowMs + staleMarginMs) {
    const ready = await Promise.all(holds.map((daemon) => daemon.isReady()));
    if (!ready.every(Boolean)) {
      scene.violate('a daemon became unready in an outage, although its peers agree');
      break;
    }
  }
  await fleet.platform.setFaults({ outage: 'none' });
  const answer = await pending;
  scene.note(`the operator received ${JSON.stringify(answer.body)}`);
  if (answer.body.kind === 'accepted') await takeAccepted(scene, answer);
  else expectKind(scene, answer, 'unavailable');
  const [stored] = await fleet.platform.list('configuration');
  const { revision } = stored!.value as { revision: number };
  if (answer.body.written === 'no' && revision !== before) {
    scene.violate('a revision was stored although the operator was told that nothing was written');
  }
  scene.setRevision(revision);
  await applyOnceBack(scene);
  await untilReady(fleet.daemons);
};

/** Every daemon is killed and restarted without any state. */
export const restartAll: Step = async (scene) => {
  const { fleet, observer } = scene;
  await Promise.all(fleet.daemons.map((daemon) => daemon.process().kill()));
  await Promise.all(fleet.daemons.map((daemon) => daemon.start()));
  scene.measure('restartMs', await observer.untilInForce(scene.revision(), fleet.daemons));
  await untilReady(fleet.daemons);
  await applyNext(scene);
};
