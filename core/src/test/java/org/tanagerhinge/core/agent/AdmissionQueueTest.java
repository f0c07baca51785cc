package org.tanagerhinge.core.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerhinge.core.invariant.InvariantMonitor;
import org.tanagerhinge.core.result.ResultCode;

/** The order of an agent's queue, who leaves it when it is full, and what is refused at once. */
class AdmissionQueueTest {
    private static final ThroughputEstimate UNKNOWN = new ThroughputEstimate(0, 0, 1);

    private static AdmissionQueue queue(int bound) {
        return new AdmissionQueue(bound, 1 << 20, InvariantMonitor.strict());
    }

    private static String next(AdmissionQueue queue) {
        return queue.takeNext(TestRuns.NOW, Duration.ZERO)
                .map(run -> run.work().profile().value())
                .orElse("nothing");
    }

    @Test
    void aHigherTierGoesFirst() {
        AdmissionQueue queue = queue(10);
        queue.offer(TestRuns.run("low", 5, 1, 10), TestRuns.NOW, UNKNOWN);
        queue.offer(TestRuns.run("high", 1, 1, 10), TestRuns.NOW, UNKNOWN);
        assertEquals("high", next(queue));
        assertEquals("low", next(queue));
    }

    /**
     * Symptom: a class gets no answer all night. Events: a class of a higher tier bursts without end. Cause: strict tier
     * order.
     */
    @ParameterizedTest
    @CsvSource({"10, 10", "25, 10", "5, 40"})
    void aLowerTierGetsItsShareDuringAnEndlessBurst(double share, long cost) {
        AdmissionQueue queue = queue(1000);
        Map<String, Long> served = new HashMap<>();
        for (int i = 0; i < 400; i++) {
            queue.offer(TestRuns.run("burst", 1, 50, 10), TestRuns.NOW, UNKNOWN);
            queue.offer(TestRuns.run("low", 6, share, cost), TestRuns.NOW, UNKNOWN);
            Run run = queue.takeNext(TestRuns.NOW, Duration.ZERO).orElseThrow();
            served.merge(run.work().profile().value(), run.cost(), Long::sum);
        }
        double part = (double) served.get("low") / (served.get("low") + served.get("burst"));
        assertEquals(share / 100, part, 0.03);
    }

    @Test
    void aFullQueueEvictsTheLowestTierAndTheLatest() {
        AdmissionQueue queue = queue(2);
        Run first = TestRuns.run("low", 5, 1, 10);
        Run second = TestRuns.run("low", 5, 1, 10);
        queue.offer(first, TestRuns.NOW, UNKNOWN);
        queue.offer(second, TestRuns.NOW, UNKNOWN);
        AdmissionQueue.AdmissionResult offer = queue.offer(TestRuns.run("high", 1, 1, 10), TestRuns.NOW, UNKNOWN);
        assertEquals(
                List.of(second),
                assertInstanceOf(AdmissionQueue.AdmissionResult.Admitted.class, offer)
                        .evicted());
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 4, 6})
    void aFullQueueRefusesWhoIsOfNoHigherTier(int tier) {
        AdmissionQueue queue = queue(1);
        queue.offer(TestRuns.run("mid", 3, 1, 10), TestRuns.NOW, UNKNOWN);
        AdmissionQueue.AdmissionResult offer = queue.offer(TestRuns.run("other", tier, 1, 10), TestRuns.NOW, UNKNOWN);
        assertEquals(
                ResultCode.QUEUE_FULL,
                assertInstanceOf(AdmissionQueue.AdmissionResult.Rejected.class, offer)
                        .code());
    }

    @Test
    void aLargeWorkspaceDoesNotCrowdOutASmallOne() {
        AdmissionQueue queue = queue(1000);
        for (int i = 0; i < 100; i++) {
            queue.offer(run("large"), TestRuns.NOW, UNKNOWN);
        }
        queue.offer(run("small"), TestRuns.NOW, UNKNOWN);
        int waited = 0;
        while (!queue.takeNext(TestRuns.NOW, Duration.ZERO)
                .orElseThrow()
                .work()
                .workspace()
                .value()
                .equals("small")) {
            waited++;
        }
        assertTrue(waited <= 1, "waited for " + waited);
    }

    private static Run run(String workspace) {
        return TestRuns.run("chat", 2, 10, 10, workspace, Duration.ofSeconds(60), Optional.empty());
    }

    @Test
    void whatCannotMeetItsDeadlineIsRefusedAtOnce() {
        AdmissionQueue queue = queue(1000);
        ThroughputEstimate slow = new ThroughputEstimate(10, 10, 0);
        for (int i = 0; i < 10; i++) {
            queue.offer(TestRuns.run("chat", 2, 10, 100), TestRuns.NOW, UNKNOWN);
        }
        Run late = TestRuns.run("chat", 2, 10, 10, "ws", Duration.ofSeconds(20), Optional.empty());
        AdmissionQueue.AdmissionResult offer = queue.offer(late, TestRuns.NOW, slow);
        assertEquals(
                ResultCode.DEADLINE_UNREACHABLE,
                assertInstanceOf(AdmissionQueue.AdmissionResult.Rejected.class, offer)
                        .code());
    }

    /**
     * Symptom: under a long burst every answer of a class comes a little after its target, and none meets it. Events: the
     * queue is as long as the target. Cause: earliest deadline first serves each run when it is just too late.
     */
    @Test
    void aRunThatMissedItsTargetGoesBehindThoseThatCanMeetIt() {
        AdmissionQueue queue = queue(10);
        Run old = TestRuns.run("chat", 2, 10, 10);
        queue.offer(old, TestRuns.NOW, UNKNOWN);
        Instant later = TestRuns.NOW.plus(TestRuns.START_TARGET).plusMillis(1);
        Run fresh = new Run(1000, TestRuns.run("chat", 2, 10, 10).submit(), later);
        queue.offer(fresh, later, UNKNOWN);
        assertEquals(Optional.of(fresh), queue.takeNext(later, Duration.ZERO));
        assertEquals(Optional.of(old), queue.takeNext(later, Duration.ZERO));
    }

    /**
     * Symptom: nearly all answers of a class are late, although a third of them could be served in time. Events: the queue
     * of the class is at its bound. Cause: it is full of runs past their targets, and fresh ones are turned away.
     */
    @Test
    void aFullClassGivesUpABelatedRunForAFreshOne() {
        AdmissionQueue queue = queue(2000);
        Run first = TestRuns.run("chat", 2, 10, 10);
        queue.offer(first, TestRuns.NOW, UNKNOWN);
        for (int i = 1; i < 1000; i++) {
            queue.offer(TestRuns.run("chat", 2, 10, 10), TestRuns.NOW, UNKNOWN);
        }
        Instant later = TestRuns.NOW.plus(TestRuns.START_TARGET).plusMillis(1);
        queue.takeNext(later, Duration.ZERO);
        queue.offer(new Run(5000, TestRuns.run("chat", 2, 10, 10).submit(), later), later, UNKNOWN);
        Run fresh = new Run(5001, TestRuns.run("chat", 2, 10, 10).submit(), later);
        AdmissionQueue.AdmissionResult offer = queue.offer(fresh, later, UNKNOWN);
        assertEquals(
                1,
                assertInstanceOf(AdmissionQueue.AdmissionResult.Admitted.class, offer)
                        .evicted()
                        .size());
    }

    /** Against a naive model: whatever was offered comes out once, or was evicted, or was refused. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void nothingIsLostOrDoubled(long seed) {
        Random random = new Random(seed);
        AdmissionQueue queue = queue(20);
        Map<Long, Integer> accounted = new HashMap<>();
        int offered = 0;
        for (int i = 0; i < 2000; i++) {
            if (random.nextBoolean()) {
                int tier = 1 + random.nextInt(6);
                Run run = TestRuns.run("class-" + tier, tier, tier, 1 + random.nextInt(50));
                offered++;
                switch (queue.offer(run, TestRuns.NOW, UNKNOWN)) {
                    case AdmissionQueue.AdmissionResult.Rejected refused -> accounted.merge(run.id(), 1, Integer::sum);
                    case AdmissionQueue.AdmissionResult.Admitted queued ->
                        queued.evicted().forEach(victim -> accounted.merge(victim.id(), 1, Integer::sum));
                }
            } else {
                queue.takeNext(TestRuns.NOW, Duration.ZERO)
                        .ifPresent(run -> accounted.merge(run.id(), 1, Integer::sum));
            }
        }
        queue.takeAll().forEach(run -> accounted.merge(run.id(), 1, Integer::sum));
        assertEquals(offered, accounted.size());
        assertTrue(accounted.values().stream().allMatch(count -> count == 1));
    }
}
