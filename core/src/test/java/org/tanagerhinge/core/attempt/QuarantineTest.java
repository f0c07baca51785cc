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

/** Which requests are sent no more, as one node sees it and as nodes tell each other. */
class QuarantineTest {
    private static final long AN_HOUR = 3_600_000;

    private final RequestFingerprint request = new RequestFingerprint(1, 7);
    private final Quarantine quarantine = Quarantine.create();

    private boolean held(Quarantine at, long now) {
        return at.heldMillis(request, now).isPresent();
    }

    @Test
    void threeServersThatEndedUnderARequestHoldIt() {
        assertFalse(quarantine.ended(request, "a@1", 0));
        assertFalse(quarantine.ended(request, "b@1", 1_000));
        assertFalse(held(quarantine, 1_000));
        assertTrue(quarantine.ended(request, "c@1", 2_000), "from now on");
        assertTrue(held(quarantine, 2_000));
        assertFalse(quarantine.ended(request, "d@1", 2_001), "it was before");
        assertTrue(quarantine.heldMillis(new RequestFingerprint(1, 8), 2_001).isEmpty());
    }

    /** Two connections of a request and its repeat break as one server ends: that is one end. */
    @Test
    void oneServersEndCountsOnce() {
        for (int i = 0; i < 5; i++) {
            assertFalse(quarantine.ended(request, "a@1", i));
        }
    }

    /** It is back under its id, and its new life is known by its name only once the next list of servers has come. */
    @Test
    void aServerThatEndsAgainWasStartedInBetween() {
        Quarantine other = Quarantine.create();
        assertFalse(quarantine.ended(request, "a", 0));
        assertFalse(quarantine.ended(request, "a", 10_000));
        quarantine.news(10_000).forEach(told -> assertFalse(other.hear(told, 10_000)));
        other.news(10_000).forEach(told -> assertFalse(quarantine.hear(told, 10_000)));
        assertTrue(quarantine.ended(request, "a", 20_000));
    }

    /** Fetches of one workspace are all alike: some are in progress wherever a server ends, and most are served. */
    @Test
    void aRequestThatAServerRanToItsEndIsNotTheCause() {
        quarantine.ended(request, "a@1", 0);
        quarantine.ended(request, "b@1", 1_000);
        assertTrue(quarantine.served(request, 1_500));
        assertFalse(quarantine.ended(request, "c@1", 2_000));
        assertFalse(quarantine.ended(request, "d@1", 3_000));
        assertTrue(quarantine.ended(request, "e@1", 4_000));
    }

    @Test
    void aQuarantineLapsesAndOneMoreEndBringsItBack() {
        quarantine.ended(request, "a@1", 0);
        quarantine.ended(request, "b@1", 0);
        quarantine.ended(request, "c@1", 0);
        long lapsed = Quarantine.HOLD_MILLIS;
        assertEquals(1, quarantine.heldMillis(request, lapsed - 1).orElseThrow());
        assertFalse(held(quarantine, lapsed));
        assertTrue(quarantine.ended(request, "d@1", lapsed + 1));
    }

    @Test
    void allIsForgottenInTime() {
        quarantine.ended(request, "a@1", 0);
        quarantine.hold(new RequestFingerprint(1, 8), 0);
        quarantine.served(request, 1);
        quarantine.trim(AN_HOUR);
        assertTrue(quarantine.empty());
    }

    @Test
    void whatIsKeptAndToldIsBounded() {
        quarantine.ended(request, "a@1", 0);
        quarantine.ended(request, "b@1", 0);
        for (int i = 0; i < 10 * Quarantine.MOST_SUSPECTED; i++) {
            quarantine.ended(new RequestFingerprint(1, 100 + i), "c@1", i);
        }
        assertEquals(Quarantine.MOST_SUSPECTED, quarantine.size());
        List<Quarantine.Suspicion> news = quarantine.news(AN_HOUR / 60);
        assertEquals(Quarantine.MOST_NEWS, news.size());
        assertEquals(request, news.get(0).request(), "what is suspected most goes first, and makes room last");
        assertTrue(quarantine.standing(0).size() <= Quarantine.MOST_STANDING);
    }

    @Test
    void newsIsToldThreeTimesAndWhatStandsForAsLongAsItDoes() {
        quarantine.ended(request, "a@1", 0);
        for (int i = 0; i < 3; i++) {
            assertEquals(1, quarantine.news(0).size());
        }
        assertTrue(quarantine.news(0).isEmpty());
        assertTrue(quarantine.standing(0).isEmpty(), "one end alone is hardly a suspicion");
        quarantine.ended(request, "b@1", 0);
        for (int i = 0; i < 9; i++) {
            assertEquals(1, quarantine.standing(0).size());
        }
    }

    @Test
    void endsThatDifferentNodesSawAddUp() {
        Quarantine other = Quarantine.create();
        quarantine.ended(request, "a@1", 10_000);
        other.ended(request, "b@1", 5_000);
        other.ended(request, "a@1", 5_000);
        // The nodes' clocks have nothing to do with each other: what is told is ages.
        other.news(5_100).forEach(told -> assertFalse(quarantine.hear(told, 10_100)));
        assertFalse(held(quarantine, 10_100));
        assertTrue(quarantine.ended(request, "c@1", 10_200));
        assertTrue(quarantine.news(10_200).stream().anyMatch(told -> other.hear(told, 5_300)));
        assertTrue(held(other, 5_300));
    }

    @Test
    void whoStartsLaterLearnsOfWhatIsHeld() {
        quarantine.ended(request, "a@1", 0);
        quarantine.ended(request, "b@1", 0);
        quarantine.ended(request, "c@1", 0);
        Quarantine later = Quarantine.create();
        quarantine.standing(60_000).forEach(told -> later.hear(told, 500));
        assertEquals(
                Quarantine.HOLD_MILLIS - 60_000,
                later.heldMillis(request, 500).orElseThrow(),
                "as long as for the one that saw it");
    }

    /** One node's server ran the request to its end while another node's ends were under way to it, and the other way round. */
    @ParameterizedTest
    @CsvSource({"2000, false", "500, true"})
    void whatWasClearedOutweighsEndsBeforeItAlone(long clearedAt, boolean stillHeld) {
        Quarantine other = Quarantine.create();
        quarantine.ended(request, "a@1", 1_000);
        quarantine.ended(request, "b@1", 1_000);
        quarantine.ended(request, "c@1", 1_000);
        other.hear(new Quarantine.Suspicion(request, List.of(), Optional.of(0L), 0), clearedAt);
        quarantine.news(2_500).forEach(told -> other.hear(told, 2_500));
        assertEquals(stillHeld, held(other, 2_500));
        other.ended(request, "d@1", 2_500);
        other.news(2_500).forEach(told -> quarantine.hear(told, 2_500));
        assertEquals(stillHeld, held(quarantine, 2_500));
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
    void aRequestIsKnownByWhoAsksWhat(
            String workspace, String method, String host, String target, String body, boolean same) {
        RequestFingerprint of = fingerprint("coop", "POST", "shop.example", "/a/x", "body");
        assertEquals(same, of.equals(fingerprint(workspace, method, host, target, body)));
        assertEquals(of, RequestFingerprint.find(of.toString()).orElseThrow());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "12", "00000001000000000000000g", "0000000100000000000000070"})
    void aTextThatIsNoFingerprintNamesNone(String text) {
        assertTrue(RequestFingerprint.find(text).isEmpty());
    }

    private static RequestFingerprint fingerprint(
            String workspace, String method, String host, String target, String body) {
        return RequestFingerprint.of(
                workspace, method, host, target, ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)));
    }
}
