package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

class FleetSizeTest {
    private static final long LEASE_MILLIS = 12_000;
    private static final Set<String> ALL = Set.of("a:1", "b:1", "c:1", "d:1");

    private final FleetSize size = FleetSize.of("a:1", LEASE_MILLIS, 0);

    @Test
    void nothingIsSharedBeforeTheStoreHasListedTheNodes() {
        size.leaseRenewed(0);
        size.heard("b:1", 100);
        assertEquals(0, size.count(200));
        assertTrue(size.listingDue(200));
        size.listed(ALL, 300);
        assertEquals(4, size.count(300));
        assertFalse(size.listingDue(400));
    }

    @Test
    void nodeThatJoinsCountsAtItsFirstReport() {
        size.leaseRenewed(0);
        size.listed(ALL, 0);
        size.heard("e:1", 1_000);
        assertEquals(5, size.count(1_000));
    }

    @Test
    void nodesAreAllOthersOnceEachThatMayRunIsAmongThem() {
        assertFalse(size.areAllOthers(Set.of()), "nothing is listed");
        size.listed(ALL, 0);
        size.heard("e:1", 1_000);
        assertFalse(size.areAllOthers(Set.of("b:1", "c:1", "d:1")));
        assertTrue(size.areAllOthers(Set.of("b:1", "c:1", "d:1", "e:1", "f:1")));
    }

    /** Guards against sides of a cut that each take the whole slack. */
    @Test
    void silentNodesCountWhileTheStoreListsThem() {
        size.listed(ALL, 0);
        for (long millis = 0; millis < 120_000; millis += 3_000) {
            size.leaseRenewed(millis);
            if (size.listingDue(millis)) {
                size.listed(ALL, millis);
            }
            assertEquals(4, size.count(millis));
        }
    }

    @Test
    void silentNodesAreForgottenOnceTheStoreListsThemNoMore() {
        size.listed(ALL, 0);
        size.leaseRenewed(61_000);
        size.heard("b:1", 61_000);
        assertTrue(size.listingDue(61_000));
        size.listed(Set.of("a:1", "b:1"), 61_000);
        assertEquals(2, size.count(61_000));
    }

    /** Guards against a node that is cut off and keeps a share that the others have divided among themselves. */
    @Test
    void nodeThatIsCutOffFromTheStoreAndFromOthersTakesNoShare() {
        size.listed(ALL, 0);
        size.leaseRenewed(0);
        assertEquals(4, size.count(LEASE_MILLIS - 1));
        assertEquals(0, size.count(LEASE_MILLIS));
        size.leaseRenewed(20_000);
        assertEquals(4, size.count(20_001));
    }

    @Test
    void nodesThatHearEachOtherKeepTheirSharesWhileTheStoreIsDown() {
        size.listed(ALL, 0);
        size.leaseRenewed(0);
        ALL.forEach(address -> size.heard(address, 29_000));
        assertEquals(4, size.count(30_000));
    }
}
