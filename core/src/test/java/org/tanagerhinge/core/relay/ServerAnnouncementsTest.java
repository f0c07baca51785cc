package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What is remembered of servers' words, and for how long. */
class ServerAnnouncementsTest {
    private final ServerAnnouncements words = ServerAnnouncements.create();

    @Test
    void aServerThatSaysThatItLeavesDoesSoForTheLifeThatSaidIt() {
        assertTrue(words.recordLeaving("e@1", 1_000));
        assertFalse(words.recordLeaving("e@1", 2_000), "known");
        assertTrue(words.isLeaving("e@1", 60_000));
        assertFalse(words.isLeaving("e@2", 60_000), "born again, it is another one");
    }

    @Test
    void whatIsRememberedLapses() {
        words.recordLeaving("e@1", 0);
        words.recordBackoff("f@1", 5_000);
        words.removeExpired(4_999);
        assertEquals(2, words.size());
        assertEquals(1, words.backoffMillis("f@1", 4_999));
        assertEquals(0, words.backoffMillis("f@1", 5_000));
        assertFalse(words.isLeaving("e@1", ServerAnnouncements.LEAVING_TTL_MILLIS));
        words.removeExpired(ServerAnnouncements.LEAVING_TTL_MILLIS);
        assertEquals(0, words.size());
    }

    @Test
    void aSecondRefusalNeverShortensTheTime() {
        words.recordBackoff("f@1", 5_000);
        words.recordBackoff("f@1", 2_000);
        assertEquals(4_000, words.backoffMillis("f@1", 1_000));
    }

    @Test
    void whatIsKeptAndToldIsBounded() {
        for (int i = 0; i < 3 * ServerAnnouncements.MAX_SERVERS; i++) {
            words.recordLeaving("e-" + i, i);
        }
        assertEquals(ServerAnnouncements.MAX_SERVERS, words.size());
        assertEquals(
                ServerAnnouncements.MAX_SERVERS_PER_REPORT,
                words.nextLeavingReport().size());
    }

    @Test
    void newsIsToldThreeTimesAndWhatAPeerToldIsNotToldOn() {
        words.recordLeaving("e@1", 0);
        assertTrue(words.recordPeerReportedLeaving("f@1", 0));
        assertFalse(words.recordPeerReportedLeaving("f@1", 1));
        assertTrue(words.isLeaving("f@1", 1));
        for (int i = 0; i < 3; i++) {
            assertEquals(List.of("e@1"), words.nextLeavingReport());
        }
        assertTrue(words.nextLeavingReport().isEmpty());
    }
}
