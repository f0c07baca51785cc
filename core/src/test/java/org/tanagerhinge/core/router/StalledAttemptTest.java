package org.tanagerhinge.core.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerhinge.core.config.ServerKind;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.result.ResultCode;
import org.tanagerhinge.core.router.RouterFixture.Sent;

/** Attempts of idempotent requests whose backend server produces nothing for a time. */
class StalledAttemptTest {
    private static final Duration STALL = Duration.ofSeconds(4);

    private static Sent runningWithOutput(RouterFixture router, RequestId id) {
        Sent first = router.newest(id);
        router.started(first);
        router.output(first, id, 0, "a");
        return first;
    }

    private static void assertGoesOn(RouterFixture router, RequestId id, Sent first) {
        assertEquals(Optional.empty(), router.result(id));
        assertFalse(router.cancelled(first));
        router.output(first, id, 1, "b");
        router.done(first, 2);
        assertEquals(Optional.of(ResultCode.OK), router.result(id));
        assertEquals("ab", router.delivered(id));
    }

    /** Guards against an answer that is ended while its engine works, since no retry is left for it. */
    @Test
    void attemptGoesOnIfNoRetryIsLeft() {
        RouterFixture router = RouterFixture.withoutRetries("engine-1", "engine-2");
        RequestId id = router.ask(ServerKind.MODEL);
        Sent first = runningWithOutput(router, id);
        router.pass(STALL);
        assertGoesOn(router, id, first);
    }

    /** Guards against an answer that is ended while its engine works, since no other engine takes it. */
    @Test
    void attemptGoesOnIfThereIsNoOtherServer() {
        RouterFixture router = RouterFixture.withEngines("engine-1");
        RequestId id = router.ask(ServerKind.MODEL);
        Sent first = runningWithOutput(router, id);
        router.pass(STALL);
        assertGoesOn(router, id, first);
    }

    /** Guards against an answer that is ended while its service works, since it can't be resumed elsewhere. */
    @Test
    void answerOfAServiceThatHasBegunGoesOn() {
        RouterFixture router = RouterFixture.withServices("service-1", "service-2");
        RequestId id = router.ask(ServerKind.SERVICE);
        Sent first = runningWithOutput(router, id);
        router.pass(STALL);
        assertGoesOn(router, id, first);
    }

    /** Guards against an answer that is ended since the agent that was to take it over refuses it. */
    @Test
    void attemptGoesOnIfItsReplacementIsRefused() {
        RouterFixture router = RouterFixture.withEngines("engine-1", "engine-2");
        RequestId id = router.ask(ServerKind.MODEL);
        Sent first = runningWithOutput(router, id);
        router.pass(STALL);
        Sent second = router.newest(id);
        assertNotEquals(first.server(), second.server());
        router.notRun(second, ResultCode.QUEUE_FULL);
        assertGoesOn(router, id, first);
    }

    /** Guards against an answer that is ended since the agent that was to take it over is lost. */
    @Test
    void attemptGoesOnIfTheAgentOfItsReplacementIsLost() {
        RouterFixture router = RouterFixture.withEngines("engine-1", "engine-2");
        RequestId id = router.ask(ServerKind.MODEL);
        Sent first = runningWithOutput(router, id);
        router.pass(STALL);
        router.core.onLinkDown(router.newest(id).server());
        assertGoesOn(router, id, first);
    }

    /** Guards against a working attempt that is given up while its replacement waits in a queue or is slower. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void attemptThatProducesOutputFirstIsKept(boolean replacementStarted) {
        RouterFixture router = RouterFixture.withEngines("engine-1", "engine-2");
        RequestId id = router.ask(ServerKind.MODEL);
        Sent first = runningWithOutput(router, id);
        router.pass(STALL);
        Sent second = router.newest(id);
        if (replacementStarted) {
            router.started(second);
            router.pass(STALL);
        }
        assertFalse(router.cancelled(first));
        assertGoesOn(router, id, first);
        assertTrue(router.cancelled(second));
    }

    /** Guards against two engines that go on with the same answer. */
    @Test
    void attemptIsCancelledOnceItsReplacementProducesOutput() {
        RouterFixture router = RouterFixture.withEngines("engine-1", "engine-2");
        RequestId id = router.ask(ServerKind.MODEL);
        Sent first = runningWithOutput(router, id);
        router.pass(STALL);
        Sent second = router.newest(id);
        router.started(second);
        router.output(second, id, 1, "b");
        assertTrue(router.cancelled(first));
        router.unreadOutput(first, 1, "x");
        router.done(second, 2);
        assertEquals(Optional.of(ResultCode.OK), router.result(id));
        assertEquals("ab", router.delivered(id));
    }

    /** Guards against a stalled attempt that is lost with its agent while the replacement could still answer. */
    @Test
    void replacementGoesOnIfTheStalledAttemptFails() {
        RouterFixture router = RouterFixture.withEngines("engine-1", "engine-2");
        RequestId id = router.ask(ServerKind.MODEL);
        Sent first = runningWithOutput(router, id);
        router.pass(STALL);
        Sent second = router.newest(id);
        router.failed(first);
        router.started(second);
        router.output(second, id, 1, "b");
        router.done(second, 2);
        assertEquals(Optional.of(ResultCode.OK), router.result(id));
        assertEquals("ab", router.delivered(id));
    }

    /** Guards against work for a caller that has gone, at both agents of a request that is being moved. */
    @Test
    void bothAttemptsAreCancelledIfTheCallerDisconnects() {
        RouterFixture router = RouterFixture.withEngines("engine-1", "engine-2");
        RequestId id = router.ask(ServerKind.MODEL);
        Sent first = runningWithOutput(router, id);
        router.pass(STALL);
        router.core.onCallerDisconnected(id);
        assertTrue(router.cancelled(first));
        assertTrue(router.cancelled(router.newest(id)));
    }

    /** Guards against an answer that is moved or ended because its caller reads slowly. */
    @Test
    void timeInWhichTheCallerDoesNotReadIsNotTheServersSilence() {
        RouterFixture router = RouterFixture.withEngines("engine-1", "engine-2");
        RequestId id = router.ask(ServerKind.MODEL);
        Sent first = router.newest(id);
        router.started(first);
        router.unreadOutput(first, 0, "a");
        router.pass(STALL);
        assertEquals(1, router.submitted(id).size());
        router.core.onCallerConsumed(id, 1);
        router.pass(Duration.ofSeconds(2));
        assertEquals(1, router.submitted(id).size());
        assertGoesOn(router, id, first);
    }

    /** Guards against answers that are moved or ended because the router itself did not run for a time. */
    @Test
    void timeInWhichTheRouterDidNotRunIsNotTheServersSilence() {
        RouterFixture router = RouterFixture.withEngines("engine-1", "engine-2");
        RequestId id = router.ask(ServerKind.MODEL);
        Sent first = runningWithOutput(router, id);
        router.pass(Duration.ofMillis(500));
        router.pause(Duration.ofSeconds(20));
        router.pass(Duration.ofSeconds(1));
        assertEquals(1, router.submitted(id).size());
        assertGoesOn(router, id, first);
    }

    /** Guards against an answer that has arrived and is thrown away because the router did not run for a time. */
    @Test
    void answerThatArrivedDuringAPauseOfTheRouterIsDelivered() {
        RouterFixture router = RouterFixture.withEngines("engine-1");
        RequestId id = router.ask(ServerKind.MODEL);
        Sent first = runningWithOutput(router, id);
        router.pause(RouterFixture.DEADLINE.plusSeconds(1));
        router.core.onTick();
        assertGoesOn(router, id, first);
    }

    /** Guards against deadlines that a router never enforces while it is short of processor time. */
    @Test
    void deadlineIsEnforcedAlthoughEveryTickIsLate() {
        RouterFixture router = RouterFixture.withEngines("engine-1");
        RequestId id = router.ask(ServerKind.MODEL);
        runningWithOutput(router, id);
        for (int i = 0; i < RouterFixture.DEADLINE.toSeconds() + 2; i++) {
            router.pause(Duration.ofSeconds(1));
            router.core.onTick();
        }
        assertEquals(Optional.of(ResultCode.ANSWER_TOO_LATE), router.result(id));
    }
}
