package org.tanagerhinge.core.attempt;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against servers crashed repeatedly by one request, and against quarantining unrelated requests. */
class RequestQuarantineTest {
    private static final long ONE_HOUR_MILLIS = 3_600_000;

    private final RequestFingerprint request = new RequestFingerprint(1, 7);
    private final RequestQuarantine quarantine = RequestQuarantine.create();

    private boolean isQuarantined(RequestQuarantine node, long nowMillis) {
        return node.remainingMillis(request, nowMillis).isPresent();
    }

    @Test
    void quarantinesRequestAfterCrashesOfThreeServers() {
        assertFalse(quarantine.recordCrash(request, "a@1", 0));
        assertFalse(quarantine.recordCrash(request, "b@1", 1_000));
        assertFalse(isQuarantined(quarantine, 1_000));
        assertTrue(quarantine.recordCrash(request, "c@1", 2_000), "newly quarantined");
        assertTrue(isQuarantined(quarantine, 2_000));
        assertFalse(quarantine.recordCrash(request, "d@1", 2_001), "already quarantined");
        assertTrue(
                quarantine.remainingMillis(new RequestFingerprint(1, 8), 2_001).isEmpty());
    }

    /** Two connections of a request and its retry break when one server crashes: that is one crash. */
    @Test
    void countsReportsOfOneCrashOnce() {
        for (int i = 0; i < 5; i++) {
            assertFalse(quarantine.recordCrash(request, "a@1", i));
        }
    }

    /** A restarted server may be reported under its old instance id until the next server list arrives. */
    @Test
    void countsLaterCrashOfTheSameServerSeparately() {
        RequestQuarantine other = RequestQuarantine.create();
        assertFalse(quarantine.recordCrash(request, "a", 0));
        assertFalse(quarantine.recordCrash(request, "a", 10_000));
        quarantine.pendingUpdates(10_000).forEach(update -> assertFalse(other.merge(update, 10_000)));
        other.pendingUpdates(10_000).forEach(update -> assertFalse(quarantine.merge(update, 10_000)));
        assertTrue(quarantine.recordCrash(request, "a", 20_000));
    }

    /** Equal requests of a workspace are in flight on many servers, so some coincide with unrelated crashes. */
    @Test
    void completedRunClearsSuspicion() {
        quarantine.recordCrash(request, "a@1", 0);
        quarantine.recordCrash(request, "b@1", 1_000);
        assertTrue(quarantine.recordCompletedRun(request, 1_500));
        assertFalse(quarantine.recordCrash(request, "c@1", 2_000));
        assertFalse(quarantine.recordCrash(request, "d@1", 3_000));
        assertTrue(quarantine.recordCrash(request, "e@1", 4_000));
    }

    @Test
    void quarantineExpiresAndReturnsAfterOneMoreCrash() {
        quarantine.recordCrash(request, "a@1", 0);
        quarantine.recordCrash(request, "b@1", 0);
        quarantine.recordCrash(request, "c@1", 0);
        long expiryMillis = RequestQuarantine.QUARANTINE_MILLIS;
        assertEquals(1, quarantine.remainingMillis(request, expiryMillis - 1).orElseThrow());
        assertFalse(isQuarantined(quarantine, expiryMillis));
        assertTrue(quarantine.recordCrash(request, "d@1", expiryMillis + 1));
    }

    @Test
    void evictsExpiredSuspects() {
        quarantine.recordCrash(request, "a@1", 0);
        quarantine.restore(new RequestFingerprint(1, 8), 0);
        quarantine.recordCompletedRun(request, 1);
        quarantine.evictExpired(ONE_HOUR_MILLIS);
        assertTrue(quarantine.isEmpty());
    }

    @Test
    void boundsSuspectsAndReportSizes() {
        quarantine.recordCrash(request, "a@1", 0);
        quarantine.recordCrash(request, "b@1", 0);
        for (int i = 0; i < 10 * RequestQuarantine.MAX_SUSPECTS; i++) {
            quarantine.recordCrash(new RequestFingerprint(1, 100 + i), "c@1", i);
        }
        assertEquals(RequestQuarantine.MAX_SUSPECTS, quarantine.size());
        List<RequestQuarantine.Suspicion> updates = quarantine.pendingUpdates(ONE_HOUR_MILLIS / 60);
        assertEquals(RequestQuarantine.MAX_UPDATES_PER_REPORT, updates.size());
        assertEquals(
                request,
                updates.get(0).request(),
                "the suspect with the most crashes is reported first and evicted last");
        assertTrue(quarantine.nextRefreshes(0).size() <= RequestQuarantine.MAX_REFRESHES_PER_REPORT);
    }

    @Test
    void reportsUpdatesThreeTimesAndRefreshesWhileSuspected() {
        quarantine.recordCrash(request, "a@1", 0);
        for (int i = 0; i < 3; i++) {
            assertEquals(1, quarantine.pendingUpdates(0).size());
        }
        assertTrue(quarantine.pendingUpdates(0).isEmpty());
        assertTrue(quarantine.nextRefreshes(0).isEmpty(), "a single crash is not refreshed");
        quarantine.recordCrash(request, "b@1", 0);
        for (int i = 0; i < 9; i++) {
            assertEquals(1, quarantine.nextRefreshes(0).size());
        }
    }

    @Test
    void addsUpCrashesSeenByDifferentNodes() {
        RequestQuarantine other = RequestQuarantine.create();
        quarantine.recordCrash(request, "a@1", 10_000);
        other.recordCrash(request, "b@1", 5_000);
        other.recordCrash(request, "a@1", 5_000);
        // The clocks of nodes differ, so reports contain ages.
        other.pendingUpdates(5_100).forEach(update -> assertFalse(quarantine.merge(update, 10_100)));
        assertFalse(isQuarantined(quarantine, 10_100));
        assertTrue(quarantine.recordCrash(request, "c@1", 10_200));
        assertTrue(quarantine.pendingUpdates(10_200).stream().anyMatch(update -> other.merge(update, 5_300)));
        assertTrue(isQuarantined(other, 5_300));
    }

    @Test
    void refreshesQuarantineAtNodeThatStartsLater() {
        quarantine.recordCrash(request, "a@1", 0);
        quarantine.recordCrash(request, "b@1", 0);
        quarantine.recordCrash(request, "c@1", 0);
        RequestQuarantine laterNode = RequestQuarantine.create();
        quarantine.nextRefreshes(60_000).forEach(update -> laterNode.merge(update, 500));
        assertEquals(
                RequestQuarantine.QUARANTINE_MILLIS - 60_000,
                laterNode.remainingMillis(request, 500).orElseThrow(),
                "same remaining time as at the reporting node");
    }

    /** A server may complete the request while reports of crashes from another node are under way. */
    @ParameterizedTest
    @CsvSource({"2000, false", "500, true"})
    void clearingOutweighsOnlyEarlierCrashes(long clearedAtMillis, boolean stillQuarantined) {
        RequestQuarantine other = RequestQuarantine.create();
        quarantine.recordCrash(request, "a@1", 1_000);
        quarantine.recordCrash(request, "b@1", 1_000);
        quarantine.recordCrash(request, "c@1", 1_000);
        other.merge(new RequestQuarantine.Suspicion(request, List.of(), Optional.of(0L), 0), clearedAtMillis);
        quarantine.pendingUpdates(2_500).forEach(update -> other.merge(update, 2_500));
        assertEquals(stillQuarantined, isQuarantined(other, 2_500));
        other.recordCrash(request, "d@1", 2_500);
        other.pendingUpdates(2_500).forEach(update -> quarantine.merge(update, 2_500));
        assertEquals(stillQuarantined, isQuarantined(quarantine, 2_500));
    }

    @ParameterizedTest
    @CsvSource({
        "coop, POST, shop.example, /a/x, body, true",
        "bank, POST, shop.example, /a/x, body, false",
        "coop, GET, shop.example, /a/x, body, false",
        "coop, POST, other.example, /a/x, body, false",
        "coop, POST, shop.example, /a/x?y=1, body, false",
        "coop, POST, shop.example, /a/x, other, false"
    })
    void fingerprintsAreEqualForEqualRequests(
            String workspace, String method, String host, String target, String body, boolean equal) {
        RequestFingerprint expected = fingerprint("coop", "POST", "shop.example", "/a/x", "body");
        assertEquals(equal, expected.equals(fingerprint(workspace, method, host, target, body)));
        assertEquals(expected, RequestFingerprint.parse(expected.toString()).orElseThrow());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "12", "00000001000000000000000g", "0000000100000000000000070"})
    void parseRejectsMalformedFingerprint(String text) {
        assertTrue(RequestFingerprint.parse(text).isEmpty());
    }

    private static RequestFingerprint fingerprint(
            String workspace, String method, String host, String target, String body) {
        return RequestFingerprint.of(
                workspace, method, host, target, ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)));
    }

    private void recordCrashes(long gapMillis) {
        for (int i = 0; i < 3; i++) {
            quarantine.recordCrash(request, "s" + i, i * gapMillis);
        }
    }

    /** Guards against a sound request that is refused for ten minutes since all servers crashed while they ran it. */
    @Test
    void requestWhoseServersCrashedTogetherHasATrial() {
        recordCrashes(10);
        assertFalse(quarantine.takeTrial(request, 4_000), "too early");
        assertTrue(quarantine.takeTrial(request, 6_000));
        assertFalse(quarantine.takeTrial(request, 6_100), "in progress");
        quarantine.endTrial(request, 6_200);
        assertTrue(quarantine.takeTrial(request, 6_200), "did not run");
        quarantine.recordCompletedRun(request, 7_000);
        assertFalse(isQuarantined(quarantine, 7_000));
    }

    /** Guards against a trial of a request that crashes one server after the other. */
    @Test
    void requestWhoseServersCrashedOneAfterTheOtherHasNoTrial() {
        recordCrashes(RequestQuarantine.COMMON_CAUSE_MILLIS);
        assertFalse(quarantine.takeTrial(request, 20_000));
        assertTrue(quarantine.trialFromMillis(request).isEmpty());
    }

    @Test
    void requestWhoseTrialCrashedItsServerHasNoOther() {
        recordCrashes(10);
        assertTrue(quarantine.takeTrial(request, 6_000));
        quarantine.recordCrash(request, "t", 6_100);
        quarantine.endTrial(request, 6_100);
        assertFalse(quarantine.takeTrial(request, RequestQuarantine.QUARANTINE_MILLIS));
    }
}
