package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests what is kept of servers' announcements, and for how long. */
class ServerAnnouncementsTest {
    private final ServerAnnouncements announcements = ServerAnnouncements.create();

    @Test
    void leavingAppliesToTheAnnouncingInstanceOnly() {
        assertTrue(announcements.recordLeaving("e@1", 1_000));
        assertFalse(announcements.recordLeaving("e@1", 2_000), "already known");
        assertTrue(announcements.isLeaving("e@1", 60_000));
        assertFalse(announcements.isLeaving("e@2", 60_000), "another instance of the server");
    }

    @Test
    void announcementsExpire() {
        announcements.recordLeaving("e@1", 0);
        announcements.recordBackoff("f@1", 5_000);
        announcements.removeExpired(4_999);
        assertEquals(2, announcements.size());
        assertEquals(1, announcements.backoffMillis("f@1", 4_999));
        assertEquals(0, announcements.backoffMillis("f@1", 5_000));
        assertFalse(announcements.isLeaving("e@1", ServerAnnouncements.LEAVING_TTL_MILLIS));
        announcements.removeExpired(ServerAnnouncements.LEAVING_TTL_MILLIS);
        assertEquals(0, announcements.size());
    }

    @Test
    void shorterBackoffDoesNotReplaceALongerOne() {
        announcements.recordBackoff("f@1", 5_000);
        announcements.recordBackoff("f@1", 2_000);
        assertEquals(4_000, announcements.backoffMillis("f@1", 1_000));
    }

    @Test
    void storedAndReportedAnnouncementsAreBounded() {
        for (int i = 0; i < 3 * ServerAnnouncements.MAX_SERVERS; i++) {
            announcements.recordLeaving("e-" + i, i);
        }
        assertEquals(ServerAnnouncements.MAX_SERVERS, announcements.size());
        assertEquals(
                ServerAnnouncements.MAX_SERVERS_PER_REPORT,
                announcements.nextLeavingReport().size());
    }

    @Test
    void leavingIsReportedThreeTimesAndPeerReportsAreNotForwarded() {
        announcements.recordLeaving("e@1", 0);
        assertTrue(announcements.recordPeerReportedLeaving("f@1", 0));
        assertFalse(announcements.recordPeerReportedLeaving("f@1", 1));
        assertTrue(announcements.isLeaving("f@1", 1));
        for (int i = 0; i < 3; i++) {
            assertEquals(List.of("e@1"), announcements.nextLeavingReport());
        }
        assertTrue(announcements.nextLeavingReport().isEmpty());
    }
}
