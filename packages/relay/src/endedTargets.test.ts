import type * as http from 'node:http';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { call, type CallerResponse } from './testing/callers';
import type { TestRelay } from './testing/createTestRelay';
import { beginStream, createStreamTarget, eventsOf, resumeIdOf } from './testing/streams';
import { withRelay } from './testing/withRelay';

const test = uvu.suite('close-delimited streams whose target ends between two events');

const callerCount = 30;
const eventCount = 12;
const callers = Array.from({ length: callerCount }, (_, index) => `r${index}`);

/** Delivers `sentCount` events without an end to each caller, then calls `onAllSent`. */
const createEndingTarget = (
  sentCount: number,
  requestCount: number,
  onAllSent: (responses: readonly http.ServerResponse[]) => void,
): http.RequestListener => {
  const responses: http.ServerResponse[] = [];
  return (request, response) => {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
    beginStream(request, response, 's1');
    if (sentCount > 0) response.write(eventsOf(1, sentCount));
    else response.flushHeaders();
    responses.push(response);
    // Everything that was sent arrives before the connections close.
    if (responses.length === requestCount) setTimeout(() => onAllSent(responses), 50);
  };
};

interface EndCase {
  readonly isResumable: boolean;
  readonly sentCount: number;
  /** Whether the process ends with its connections, only its listener does, or only the responses end. */
  readonly end: 'process' | 'listener' | 'responses';
}

/** Streams that take longer than this are hedged, which would run them on the other target too. */
const latencyTargetMs = 20_000;

/** Runs streams on a target that ends them; another target with all events is there for further runs. */
const endStreams = async ({ isResumable, sentCount, end }: EndCase) => {
  let relay: TestRelay | undefined;
  let resumedCount = 0;
  const ending = createEndingTarget(sentCount, callerCount, (responses) => {
    if (end === 'process') {
      relay!.endTarget('t1');
      return;
    }
    if (end === 'listener') relay!.leave('t1');
    responses.forEach((response) => response.end());
  });
  const whole = createStreamTarget(eventCount, 's2');
  const targets = [
    { id: 't1', listener: ending },
    {
      id: 't2',
      listener: (request: http.IncomingMessage, response: http.ServerResponse) => {
        resumedCount += 1;
        whole(request, response);
      },
    },
  ];
  let answers: readonly CallerResponse[] = [];
  // The target of the relay's own failure domain gets all first runs while it has places.
  await withRelay(
    {
      targets,
      route: { isResumable, latencyTargetMs, gapTargetMs: latencyTargetMs },
      slots: 1_000,
      fleetRetryReserve: 1_000,
    },
    async (started) => {
      relay = started;
      answers = await Promise.all(
        callers.map((id) => call(started.url, { headers: { 'x-id': id } })),
      );
    },
  );
  return { answers, resumedCount };
};

const completeCount = (answers: readonly CallerResponse[]) =>
  answers.filter(({ isComplete }) => isComplete).length;

test('do not look complete when they can not be resumed', async () => {
  const { answers } = await endStreams({ isResumable: false, sentCount: 4, end: 'process' });
  assert.is(answers.filter(({ text }) => text === eventsOf(1, 4)).length, callerCount);
  assert.is(completeCount(answers), 0);
});

test('are resumed at another target', async () => {
  const { answers } = await endStreams({ isResumable: true, sentCount: 4, end: 'process' });
  assert.is(answers.filter(({ text }) => text === eventsOf(1, eventCount)).length, callerCount);
  assert.is(completeCount(answers), callerCount);
});

test('end as complete when another target has nothing more', async () => {
  const sentCount = eventCount;
  const { answers, resumedCount } = await endStreams({
    isResumable: true,
    sentCount,
    end: 'process',
  });
  assert.is(resumedCount, callerCount);
  assert.is(answers.filter(({ text }) => text === eventsOf(1, eventCount)).length, callerCount);
  assert.is(completeCount(answers), callerCount);
});

test('do not look complete when they have resumed a chunked stream', async () => {
  let relay: TestRelay | undefined;
  const torn: http.RequestListener = (request, response) => {
    beginStream(request, response, 's1');
    response.write(eventsOf(1, 2));
    setTimeout(() => response.destroy(), 30);
  };
  const ending: http.RequestListener = (request, response) => {
    response.useChunkedEncodingByDefault = false;
    beginStream(request, response, 's2');
    response.write(eventsOf(resumeIdOf(request) + 1, 4));
    setTimeout(() => relay!.endTarget('t2'), 50);
  };
  const targets = [
    { id: 't1', listener: torn },
    { id: 't2', listener: ending },
  ];
  await withRelay({ targets }, async (started) => {
    relay = started;
    const { text, isComplete } = await call(started.url);
    assert.equal([text, isComplete], [eventsOf(1, 4), false]);
  });
});

test('fail when they have no event and can not be sent again', async () => {
  const { answers } = await endStreams({ isResumable: false, sentCount: 0, end: 'process' });
  assert.is(answers.filter(({ status }) => status === 502).length, callerCount);
});

test('are complete without another run when the target leaves and has closed its listener', async () => {
  for (const isResumable of [true, false]) {
    const { answers, resumedCount } = await endStreams({
      isResumable,
      sentCount: 4,
      end: 'listener',
    });
    assert.is(resumedCount, 0);
    assert.is(completeCount(answers), callerCount);
  }
});

test('are complete when only the response ends', async () => {
  const { answers, resumedCount } = await endStreams({
    isResumable: true,
    sentCount: 4,
    end: 'responses',
  });
  assert.is(resumedCount, 0);
  assert.is(answers.filter(({ text }) => text === eventsOf(1, 4)).length, callerCount);
  assert.is(completeCount(answers), callerCount);
});

test.run();
