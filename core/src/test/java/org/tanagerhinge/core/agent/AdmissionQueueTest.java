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

/** Tests dispatch order, eviction and rejection of the admission queue. */
class AdmissionQueueTest {
    private static final ThroughputEstimate UNMEASURED = new ThroughputEstimate(0, 0, 1);

    private static AdmissionQueue newQueue(int maxRuns) {
        return new AdmissionQueue(maxRuns, 1 << 20, InvariantMonitor.strict());
    }

    private static String takeNextProfile(AdmissionQueue queue) {
        return queue.takeNext(TestRuns.NOW, Duration.ZERO)
                .map(run -> run.work().profile().value())
                .orElse("nothing");
    }

    @Test
    void dispatchesHigherTierFirst() {
        AdmissionQueue queue = newQueue(10);
        queue.offer(TestRuns.run("low", 5, 1, 10), TestRuns.NOW, UNMEASURED);
        queue.offer(TestRuns.run("high", 1, 1, 10), TestRuns.NOW, UNMEASURED);
        assertEquals("high", takeNextProfile(queue));
        assertEquals("low", takeNextProfile(queue));
    }

    /** Guards against starvation of a lower tier by strict tier order. */
    @ParameterizedTest
    @CsvSource({"10, 10", "25, 10", "5, 40"})
    void lowerTierGetsItsShareDuringEndlessBurstOfHigherTier(double sharePercent, long cost) {
        AdmissionQueue queue = newQueue(1000);
        Map<String, Long> servedCost = new HashMap<>();
        for (int i = 0; i < 400; i++) {
            queue.offer(TestRuns.run("burst", 1, 50, 10), TestRuns.NOW, UNMEASURED);
            queue.offer(TestRuns.run("low", 6, sharePercent, cost), TestRuns.NOW, UNMEASURED);
            Run run = queue.takeNext(TestRuns.NOW, Duration.ZERO).orElseThrow();
            servedCost.merge(run.work().profile().value(), run.cost(), Long::sum);
        }
        double servedFraction = (double) servedCost.get("low") / (servedCost.get("low") + servedCost.get("burst"));
        assertEquals(sharePercent / 100, servedFraction, 0.03);
    }

    @Test
    void fullQueueEvictsLatestRunOfLowestTier() {
        AdmissionQueue queue = newQueue(2);
        Run first = TestRuns.run("low", 5, 1, 10);
        Run second = TestRuns.run("low", 5, 1, 10);
        queue.offer(first, TestRuns.NOW, UNMEASURED);
        queue.offer(second, TestRuns.NOW, UNMEASURED);
        AdmissionQueue.AdmissionResult offer = queue.offer(TestRuns.run("high", 1, 1, 10), TestRuns.NOW, UNMEASURED);
        assertEquals(
                List.of(second),
                assertInstanceOf(AdmissionQueue.AdmissionResult.Admitted.class, offer)
                        .evicted());
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 4, 6})
    void fullQueueRejectsRunOfSameOrLowerTier(int tier) {
        AdmissionQueue queue = newQueue(1);
        queue.offer(TestRuns.run("mid", 3, 1, 10), TestRuns.NOW, UNMEASURED);
        AdmissionQueue.AdmissionResult offer =
                queue.offer(TestRuns.run("other", tier, 1, 10), TestRuns.NOW, UNMEASURED);
        assertEquals(
                ResultCode.QUEUE_FULL,
                assertInstanceOf(AdmissionQueue.AdmissionResult.Rejected.class, offer)
                        .code());
    }

    @Test
    void workspaceWithManyRunsDoesNotDelayWorkspaceWithOne() {
        AdmissionQueue queue = newQueue(1000);
        for (int i = 0; i < 100; i++) {
            queue.offer(runOfWorkspace("large"), TestRuns.NOW, UNMEASURED);
        }
        queue.offer(runOfWorkspace("small"), TestRuns.NOW, UNMEASURED);
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

    private static Run runOfWorkspace(String workspace) {
        return TestRuns.run("chat", 2, 10, 10, workspace, Duration.ofSeconds(60), Optional.empty());
    }

    @Test
    void rejectsRunThatCannotMeetItsDeadline() {
        AdmissionQueue queue = newQueue(1000);
        ThroughputEstimate slow = new ThroughputEstimate(10, 10, 0);
        for (int i = 0; i < 10; i++) {
            queue.offer(TestRuns.run("chat", 2, 10, 100), TestRuns.NOW, UNMEASURED);
        }
        Run unreachable = TestRuns.run("chat", 2, 10, 10, "ws", Duration.ofSeconds(20), Optional.empty());
        AdmissionQueue.AdmissionResult offer = queue.offer(unreachable, TestRuns.NOW, slow);
        assertEquals(
                ResultCode.DEADLINE_UNREACHABLE,
                assertInstanceOf(AdmissionQueue.AdmissionResult.Rejected.class, offer)
                        .code());
    }

    /**
     * Guards against earliest-deadline-first order under overload, which dispatches each run just after its target so
     * that none meets it.
     */
    @Test
    void dispatchesRunThatMissedItsTargetLast() {
        AdmissionQueue queue = newQueue(10);
        Run old = TestRuns.run("chat", 2, 10, 10);
        queue.offer(old, TestRuns.NOW, UNMEASURED);
        Instant later = TestRuns.NOW.plus(TestRuns.START_TARGET).plusMillis(1);
        Run fresh = new Run(1000, TestRuns.run("chat", 2, 10, 10).submit(), later);
        queue.offer(fresh, later, UNMEASURED);
        assertEquals(Optional.of(fresh), queue.takeNext(later, Duration.ZERO));
        assertEquals(Optional.of(old), queue.takeNext(later, Duration.ZERO));
    }

    /**
     * Guards against a class queue full of runs past their targets, which rejects new runs that can still meet theirs.
     */
    @Test
    void fullClassEvictsLateRunForNewRun() {
        AdmissionQueue queue = newQueue(2000);
        Run first = TestRuns.run("chat", 2, 10, 10);
        queue.offer(first, TestRuns.NOW, UNMEASURED);
        for (int i = 1; i < 1000; i++) {
            queue.offer(TestRuns.run("chat", 2, 10, 10), TestRuns.NOW, UNMEASURED);
        }
        Instant later = TestRuns.NOW.plus(TestRuns.START_TARGET).plusMillis(1);
        queue.takeNext(later, Duration.ZERO);
        queue.offer(new Run(5000, TestRuns.run("chat", 2, 10, 10).submit(), later), later, UNMEASURED);
        Run fresh = new Run(5001, TestRuns.run("chat", 2, 10, 10).submit(), later);
        AdmissionQueue.AdmissionResult offer = queue.offer(fresh, later, UNMEASURED);
        assertEquals(
                1,
                assertInstanceOf(AdmissionQueue.AdmissionResult.Admitted.class, offer)
                        .evicted()
                        .size());
    }

    /** Checks with random operations that each run is dispatched, evicted or rejected exactly once. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void everyOfferedRunLeavesTheQueueExactlyOnce(long seed) {
        Random random = new Random(seed);
        AdmissionQueue queue = newQueue(20);
        Map<Long, Integer> exitsByRun = new HashMap<>();
        int offered = 0;
        for (int i = 0; i < 2000; i++) {
            if (random.nextBoolean()) {
                int tier = 1 + random.nextInt(6);
                Run run = TestRuns.run("class-" + tier, tier, tier, 1 + random.nextInt(50));
                offered++;
                switch (queue.offer(run, TestRuns.NOW, UNMEASURED)) {
                    case AdmissionQueue.AdmissionResult.Rejected rejected ->
                        exitsByRun.merge(run.id(), 1, Integer::sum);
                    case AdmissionQueue.AdmissionResult.Admitted admitted ->
                        admitted.evicted().forEach(victim -> exitsByRun.merge(victim.id(), 1, Integer::sum));
                }
            } else {
                queue.takeNext(TestRuns.NOW, Duration.ZERO)
                        .ifPresent(run -> exitsByRun.merge(run.id(), 1, Integer::sum));
            }
        }
        queue.takeAll().forEach(run -> exitsByRun.merge(run.id(), 1, Integer::sum));
        assertEquals(offered, exitsByRun.size());
        assertTrue(exitsByRun.values().stream().allMatch(count -> count == 1));
    }
}
