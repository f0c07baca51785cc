package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerhinge.core.attempt.RequestFingerprint;

/** Tests admission with the callers' retries, at one server that works off its queue at a constant rate. */
class AdmissionPolicyTest {
    private static final int TIMEOUT_MILLIS = 9_000;
    private static final int TOKENS = 100;
    private static final double TOKENS_PER_MILLI = 10;

    private static final Route ROUTE = new Route(
            "r",
            "h",
            "/",
            RouteKind.STREAM,
            true,
            List.of(new WeightedService("model", 1)),
            2,
            TIMEOUT_MILLIS,
            1_000,
            800,
            0,
            true,
            true);
    private static final ServiceConfig SERVICE = ServiceConfig.of("model", 300, 48, 300_000);
    private static final Map<String, WorkspaceConfig> KEYS =
            Map.of("key", new WorkspaceConfig("w", OptionalInt.empty()));
    private static final RelayConfig CONFIG =
            RelayConfig.of(1, List.of(ROUTE), List.of(SERVICE), KEYS, CallerLimits.DEFAULT);
    private static final ServerInstance SERVER = ServerInstance.of(RelayFixture.registration("a", false));

    private final AdmissionPolicy policy = AdmissionPolicy.without(Set.of());

    private Optional<AdmissionPolicy.Rejection> rejection(long id, long leftMillis, double waitMillis, long nowMillis) {
        PlacementRequest placement = new PlacementRequest(ROUTE, SERVICE, Prompt.of(TOKENS, 0, List.of()), "north");
        return policy.rejection(
                new AdmissionPolicy.Request(
                        CONFIG, placement, Optional.empty(), leftMillis, () -> new RequestFingerprint(0, id)),
                new PlacementPolicy.Decision(SERVER, TOKENS, 0, true, waitMillis, Optional.empty()),
                nowMillis,
                () -> 0.5);
    }

    private long promisedWork(long nowMillis) {
        return policy.retries().nextReport(0, nowMillis).values().stream()
                .flatMap(promised -> promised.workBySlot().stream())
                .mapToLong(Long::longValue)
                .sum();
    }

    /** Guards against callers that repeat at once and displace those who wait as told, or take their slots. */
    @Test
    void repeatsBeforeTheirTimeAreRejectedAndTakeNoPromise() {
        long told = rejection(1, TIMEOUT_MILLIS, 5_000, 10_000).orElseThrow().retryAfterMillis();
        long promised = promisedWork(10_000);
        for (long millis = 10_000; millis < 10_000 + told - 30; millis += 10) {
            AdmissionPolicy.Rejection again =
                    rejection(1, TIMEOUT_MILLIS, 5_000, millis).orElseThrow();
            assertEquals(AdmissionPolicy.Reason.REPEATED_EARLY, again.reason());
            assertEquals(10_000 + told, millis + again.retryAfterMillis());
        }
        assertEquals(promised, promisedWork(10_000));
        assertEquals(Optional.empty(), rejection(1, TIMEOUT_MILLIS - told, 900, 10_000 + told));
    }

    /** Guards against a repeat with little time left that is told a time later than it waits. */
    @Test
    void repeatIsToldAtMostAThirdOfItsTimeLeft() {
        rejection(1, TIMEOUT_MILLIS, 5_000, 10_000);
        AdmissionPolicy.Rejection again = rejection(1, 150, 5_000, 10_001).orElseThrow();
        assertEquals(50, again.retryAfterMillis());
    }

    /** Guards against other requests that are taken for repeats. */
    @Test
    void otherRequestsAreNotRepeats() {
        rejection(1, TIMEOUT_MILLIS, 5_000, 10_000);
        assertEquals(Optional.empty(), rejection(2, TIMEOUT_MILLIS, 0, 10_001));
    }

    /** Guards against a memory of told times that grows without bound, and against work that grows with it. */
    @Test
    void remembersABoundedNumberOfRequests() {
        EarlyRepeats repeats = EarlyRepeats.create();
        for (int i = 0; i < 10_000; i++) {
            repeats.recordTold(new RequestFingerprint(0, i), 5_000, 0);
        }
        assertTrue(repeats.remainingMillis(new RequestFingerprint(0, 0), 1).isEmpty());
        assertTrue(repeats.remainingMillis(new RequestFingerprint(0, 9_999), 1).isPresent());
        assertTrue(
                repeats.remainingMillis(new RequestFingerprint(0, 9_999), 5_000).isEmpty());
        assertTrue(repeats.isEmpty());
    }

    /** Guards against new requests that are rejected for the sake of promises while the server is idle. */
    @Test
    void idleServerAcceptsDespitePromises() {
        for (int i = 0; i < 500; i++) {
            rejection(i, TIMEOUT_MILLIS, 5_000, 10_000);
        }
        for (long millis = 10_000; millis < 15_000; millis += 50) {
            assertEquals(Optional.empty(), rejection(1_000 + millis, TIMEOUT_MILLIS, 100, millis));
        }
    }

    /** Guards against a rank that is told to come back later than its callers wait. */
    @Test
    void moreUrgentRanksAreToldAtMostAThirdOfTheirTimeLeft() {
        policy.rankGate().recordSent(RankGate.PendingRequest.of(SERVER.instanceId(), -1, 0));
        policy.rankGate().recordSent(RankGate.PendingRequest.of(SERVER.instanceId(), -1, 0));
        AdmissionPolicy.Rejection rejection = rejection(1, 300, 0, 10_000).orElseThrow();
        assertEquals(AdmissionPolicy.Reason.YIELDS_TO_URGENT, rejection.reason());
        assertEquals(100, rejection.retryAfterMillis());
    }

    /**
     * A request of a caller.
     *
     * @param toldMillis when it was told to come back; -1 before it was rejected
     * @param impatient whether it also repeats every 50 ms
     */
    private record Call(long id, long firstMillis, long atMillis, long toldMillis, boolean impatient) {}

    /** Counts what became of the callers who came back as told. */
    private static final class Outcome {
        private int cameBack;
        private int rejectedAgain;
        private int early;
    }

    private Outcome runBurst(long seed, double impatientShare) {
        Random random = new Random(seed);
        PriorityQueue<Call> calls = new PriorityQueue<>(Comparator.comparingLong(Call::atMillis));
        for (int i = 0; i < 500; i++) {
            long millis = i < 300 ? random.nextInt(6_000) : 2_000 + random.nextInt(500);
            calls.add(new Call(i, millis, millis, -1, random.nextDouble() < impatientShare));
        }
        Outcome outcome = new Outcome();
        double queuedTokens = 0;
        long previousMillis = 0;
        while (!calls.isEmpty()) {
            Call call = calls.poll();
            long now = call.atMillis();
            queuedTokens = Math.max(0, queuedTokens - TOKENS_PER_MILLI * (now - previousMillis));
            previousMillis = now;
            boolean cameBack = call.toldMillis() >= 0 && now >= call.toldMillis();
            outcome.cameBack += cameBack ? 1 : 0;
            Optional<AdmissionPolicy.Rejection> rejection = rejection(
                    call.id(),
                    TIMEOUT_MILLIS - (now - call.firstMillis()),
                    (queuedTokens + TOKENS) / TOKENS_PER_MILLI,
                    now);
            queuedTokens += rejection.isEmpty() ? TOKENS : 0;
            if (rejection.isEmpty()) {
                continue;
            }
            assertTrue(now >= 2_000, "rejected before the burst, at " + now);
            boolean early = rejection.get().reason() == AdmissionPolicy.Reason.REPEATED_EARLY;
            outcome.early += early ? 1 : 0;
            outcome.rejectedAgain += cameBack ? 1 : 0;
            if (!cameBack) {
                long told = now + rejection.get().retryAfterMillis();
                calls.add(new Call(
                        call.id(),
                        call.firstMillis(),
                        call.impatient() ? Math.min(told, now + 50) : told,
                        told,
                        call.impatient()));
            }
        }
        return outcome;
    }

    /** Guards against callers who come back as told after a burst beyond capacity and are rejected again. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void callersOfABurstAreAcceptedWhenTheyComeBack(long seed) {
        Outcome outcome = runBurst(seed, 0);
        assertTrue(outcome.cameBack >= 20, outcome.cameBack + " came back");
        assertEquals(0, outcome.early);
        assertTrue(outcome.rejectedAgain * 20 <= outcome.cameBack, outcome.rejectedAgain + " rejected again");
    }

    /** Guards against callers that repeat every 50 ms and take the place of those who come back as told. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void impatientCallersTakeNothingFromThoseWhoWait(long seed) {
        Outcome outcome = runBurst(seed, 0.5);
        assertTrue(outcome.early > outcome.cameBack, outcome.early + " early repeats");
        assertTrue(outcome.rejectedAgain * 20 <= outcome.cameBack, outcome.rejectedAgain + " rejected again");
    }
}
