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
        assertTrue(words.leaves("e@1", 1_000));
        assertFalse(words.leaves("e@1", 2_000), "known");
        assertTrue(words.leaving("e@1", 60_000));
        assertFalse(words.leaving("e@2", 60_000), "born again, it is another one");
    }

    @Test
    void whatIsRememberedLapses() {
        words.leaves("e@1", 0);
        words.wantsNothing("f@1", 5_000);
        words.trim(4_999);
        assertEquals(2, words.size());
        assertEquals(1, words.nothingMillis("f@1", 4_999));
        assertEquals(0, words.nothingMillis("f@1", 5_000));
        assertFalse(words.leaving("e@1", ServerAnnouncements.LEAVING_MILLIS));
        words.trim(ServerAnnouncements.LEAVING_MILLIS);
        assertEquals(0, words.size());
    }

    @Test
    void aSecondRefusalNeverShortensTheTime() {
        words.wantsNothing("f@1", 5_000);
        words.wantsNothing("f@1", 2_000);
        assertEquals(4_000, words.nothingMillis("f@1", 1_000));
    }

    @Test
    void whatIsKeptAndToldIsBounded() {
        for (int i = 0; i < 3 * ServerAnnouncements.MOST; i++) {
            words.leaves("e-" + i, i);
        }
        assertEquals(ServerAnnouncements.MOST, words.size());
        assertEquals(ServerAnnouncements.MOST_TOLD, words.news().size());
    }

    @Test
    void newsIsToldThreeTimesAndWhatAPeerToldIsNotToldOn() {
        words.leaves("e@1", 0);
        assertTrue(words.heardThatLeaves("f@1", 0));
        assertFalse(words.heardThatLeaves("f@1", 1));
        assertTrue(words.leaving("f@1", 1));
        for (int i = 0; i < 3; i++) {
            assertEquals(List.of("e@1"), words.news());
        }
        assertTrue(words.news().isEmpty());
    }
}
