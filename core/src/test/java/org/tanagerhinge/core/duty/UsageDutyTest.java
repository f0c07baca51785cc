package org.tanagerhinge.core.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a usage duty that goes no further after a call without a reply, or with a record it cannot read. */
class UsageDutyTest {
    private static final DutySettings SETTINGS = new DutySettings(
            "a",
            Duration.ofSeconds(3),
            Duration.ofSeconds(3),
            true,
            Duration.ofSeconds(13),
            Duration.ofSeconds(5),
            Duration.ofSeconds(30));
    private static final long STEP_MILLIS = 150;

    /** Calls of the duty. */
    private enum Call {
        READ,
        GRANT,
        CLAIM,
        RENEW,
        COMMIT,
        REPORT,
        SAVE
    }

    private long nowMillis = 1_000_000;

    private final NodeClock clock = new NodeClock() {
        @Override
        public long steadyMillis() {
            return nowMillis;
        }

        @Override
        public long wallClockMillis() {
            return nowMillis;
        }
    };

    private final List<Long> reported = new ArrayList<>();
    private final List<Long> skipped = new ArrayList<>();
    private final List<String> ignored = new ArrayList<>();
    private UsageTally tally = UsageTally.EMPTY;
    private List<UsageCounts> committed = List.of();
    private long committedThroughOfHolder;
    private Optional<Call> lostCall = Optional.empty();
    private boolean committedUnreadable;
    private String claim = "";
    private long claimValidUntilMillis;

    private <T> void reply(Call call, T value, Consumer<CallOutcome<T>> callback) {
        if (lostCall.equals(Optional.of(call))) {
            lostCall = Optional.empty();
            return;
        }
        callback.accept(new CallOutcome.Completed<>(value));
    }

    /** A store and a usage endpoint that answer at once, except for one call. */
    private final class Client implements DutyClient {
        @Override
        public long storeEra() {
            return 1;
        }

        @Override
        public void grantLease(long ttlMillis, Consumer<CallOutcome<Long>> callback) {
            reply(Call.GRANT, 7L, callback);
        }

        @Override
        public void claim(
                String text, long leaseId, List<String> recentHolders, Consumer<CallOutcome<Boolean>> callback) {
            claim = text;
            claimValidUntilMillis = nowMillis + SETTINGS.leaseMillis();
            reply(Call.CLAIM, true, callback);
        }

        @Override
        public void renewLease(long leaseId, Consumer<CallOutcome<Boolean>> callback) {
            claimValidUntilMillis = nowMillis + SETTINGS.leaseMillis();
            reply(Call.RENEW, true, callback);
        }

        @Override
        public void revokeLease(long leaseId) {
            claim = "";
        }

        @Override
        public void readRecord(Consumer<CallOutcome<DutyRecord>> callback) {
            Optional<DutyRecord.Ownership> ownership = claim.isEmpty() || nowMillis > claimValidUntilMillis
                    ? Optional.empty()
                    : Optional.of(new DutyRecord.Ownership(claim, 5));
            reply(Call.READ, new DutyRecord(ownership, List.of(), committed, tally), callback);
        }

        @Override
        public void commitUsage(
                long fencingToken,
                UsageCounts counts,
                long pruneThrough,
                Consumer<CallOutcome<CommitResult>> callback) {
            CommitResult result = committedUnreadable
                    ? new CommitResult.CommittedUnreadable("deliberate")
                    : new CommitResult.Committed();
            committedUnreadable = false;
            reply(Call.COMMIT, result, callback);
        }

        @Override
        public void saveTally(long fencingToken, UsageTally tally, Consumer<CallOutcome<Boolean>> callback) {
            reply(Call.SAVE, true, callback);
        }

        @Override
        public void release(long fencingToken, UsageTally tally, Runnable callback) {
            callback.run();
        }

        @Override
        public void reportUsage(long fencingToken, UsageCounts counts, Consumer<CallOutcome<ReportResult>> callback) {
            reported.add(counts.window());
            reply(Call.REPORT, ReportResult.ACCEPTED, callback);
        }
    }

    private final class Listener implements DutyListener {
        @Override
        public void dutyAcquired(long fencingToken) {}

        @Override
        public void dutyLost(long fencingToken, String reason) {
            claim = "";
        }

        @Override
        public void usageCommitted(long fencingToken, UsageCounts counts, int completeNodes, int knownNodes) {}

        @Override
        public void usageReported(long fencingToken, UsageCounts counts, String outcome, long remainingLeaseMillis) {}

        @Override
        public void windowSkipped(long window, String reason) {
            skipped.add(window);
        }

        @Override
        public void windowMissed(long window, String reason) {}

        @Override
        public void statementIgnored(String statement) {
            ignored.add(statement);
        }
    }

    /** Runs a node that counts a request at each step. */
    private void run(Duration time) {
        MedianClock medianClock = MedianClock.of(clock);
        UsageCounter counter = UsageCounter.of(SETTINGS, medianClock, 1);
        UsageDuty duty =
                UsageDuty.of(SETTINGS, clock, medianClock, new Client(), new Random(1), new Listener(), counter, 1);
        long endMillis = nowMillis + time.toMillis();
        duty.recordCommittedThrough(committedThroughOfHolder);
        while (nowMillis < endMillis) {
            counter.recordStart("coop");
            duty.tick(List.of(), 100);
            nowMillis += STEP_MILLIS;
        }
    }

    @ParameterizedTest
    @EnumSource(Call.class)
    void windowsAreReportedAfterACallWithoutReply(Call call) {
        lostCall = Optional.of(call);
        run(Duration.ofMinutes(3));
        assertTrue(lostCall.isEmpty(), "the call was not made");
        long lastWindow = SETTINGS.windowAt(nowMillis) - 1;
        assertTrue(reported.contains(lastWindow - 1), "reported: " + reported);
    }

    /** Guards against a window whose committed counts cannot be read, and which no later window gets past. */
    @Test
    void windowWhoseCommittedCountsCannotBeReadIsSkipped() {
        committedUnreadable = true;
        run(Duration.ofMinutes(1));
        assertEquals(1, skipped.size());
        assertTrue(reported.contains(skipped.getFirst() + 1), "reported: " + reported);
        assertTrue(!reported.contains(skipped.getFirst()), "reported: " + reported);
    }

    /** What may state a window. */
    private enum Statement {
        TALLY,
        COMMITTED_COUNTS,
        REPORTED_COUNTS,
        HOLDER
    }

    private void state(Statement statement, long window) {
        SortedMap<String, Long> counts = new TreeMap<>(Map.of("coop", 1L));
        switch (statement) {
            case TALLY -> tally = new UsageTally(List.of(), window, 1);
            case COMMITTED_COUNTS -> committed = List.of(new UsageCounts(window, counts));
            case REPORTED_COUNTS ->
                tally = new UsageTally(
                        List.of(new UsageReport("b", 1, 0, 0, false, new TreeMap<>(Map.of(window, counts)))), 0, 1);
            case HOLDER -> committedThroughOfHolder = window;
        }
    }

    /** Guards against a node that stands still while it skips all windows up to one that cannot be true. */
    @ParameterizedTest
    @EnumSource
    void windowsAreReportedWhateverOthersStateOfLaterOnes(Statement statement) {
        for (long window : new long[] {Long.MAX_VALUE, Long.MAX_VALUE - 1, 1L << 40, -1, Long.MIN_VALUE}) {
            reported.clear();
            ignored.clear();
            claim = "";
            state(statement, window);
            assertTimeoutPreemptively(Duration.ofSeconds(20), () -> run(Duration.ofMinutes(1)));
            long lastWindow = SETTINGS.windowAt(nowMillis) - 1;
            assertTrue(reported.contains(lastWindow - 1), "reported: " + reported);
            assertTrue(!reported.contains(window), "reported: " + reported);
            assertTrue(statement == Statement.HOLDER || !ignored.isEmpty());
        }
    }
}
