package org.tanagerhinge.core.duty;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.core.store.StorePosition;

/** Tests what a new holder knows of commits from before a restore of the store. */
class CommittedWindowsTest {
    private static final long WINDOW = 7;

    private final CommittedWindows windows = CommittedWindows.of("self", 1);

    /** Guards against windows that are left out although their holder has announced what it committed. */
    @Test
    void holderOfTheEarlierEraSettlesWhatItAnnounces() {
        windows.learnFrom(holder("a", 1, 1), 1);
        windows.learnFrom(holder("a", 1, 2), 2);
        windows.dutyAcquired(tallyOfEra(1), 2, WINDOW);
        assertTrue(windows.isSettled(WINDOW));
    }

    /**
     * Guards against two counts for a window: a holder that acquired the duty after the restore, with the same gap as
     * this one, counted as knowing all commits.
     */
    @Test
    void holderOfTheNewEraDoesNotSettleWhatItCannotKnow() {
        windows.learnFrom(holder("a", 2, 2), 2);
        windows.dutyAcquired(tallyOfEra(1), 2, WINDOW);
        assertFalse(windows.isSettled(WINDOW));
        windows.learnFrom(holder("a", 2, 2), 2);
        assertFalse(windows.isSettled(WINDOW));
    }

    /** Guards against the same by this process, which loses the duty and acquires it again. */
    @Test
    void reacquiringTheDutyDoesNotSettleWhatWasUnsettled() {
        windows.dutyAcquired(tallyOfEra(1), 2, WINDOW);
        windows.dutyAcquired(tallyOfEra(1), 2, WINDOW);
        assertFalse(windows.isSettled(WINDOW));
    }

    private static DutyPeer holder(String name, long claimedInEra, long knownEra) {
        long token = StorePosition.of(claimedInEra, 400).toFencingToken();
        return new DutyPeer(name, 1, true, new DutyAnnouncement(1_000, 1, token, knownEra, 0));
    }

    private static UsageTally tallyOfEra(long era) {
        return new UsageTally(List.of(), 0, era);
    }
}
