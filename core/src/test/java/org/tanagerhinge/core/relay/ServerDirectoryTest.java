package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.tanagerhinge.core.relay.RelayFixture.registration;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.core.store.StorePosition;

/** Tests which backend servers are known after a sequence of registration lists. */
class ServerDirectoryTest {
    @Test
    void serverMissingFromAListIsRemoved() {
        ServerDirectory directory = ServerDirectory.create();
        directory.apply(List.of(registration("a", false), registration("b", false)), 1_000);
        directory.apply(List.of(registration("a", false)), 1_800);
        assertEquals(1, directory.available("model").size());
    }

    /**
     * Guards against an empty server list after a store outage: registrations lapse while the servers run, and come
     * back within two seconds of its end.
     */
    @Test
    void lapsedRegistrationsAreKeptForAWhileAfterAStoreOutage() {
        ServerDirectory directory = ServerDirectory.create();
        directory.apply(List.of(registration("a", false), registration("b", false)), 1_000);
        directory.apply(List.of(), 9_000);
        assertEquals(2, directory.available("model").size());
        directory.apply(List.of(registration("a", false)), 9_800);
        assertEquals(2, directory.available("model").size());
        directory.apply(List.of(registration("a", false)), 11_300);
        assertEquals(1, directory.available("model").size());
    }

    @Test
    void listMayMissServersForAWhileAfterAStoreOutage() {
        ServerDirectory directory = ServerDirectory.create();
        directory.apply(List.of(registration("a", false)), 1_000);
        directory.apply(List.of(registration("a", false)), 1_800);
        assertFalse(directory.mayMissServers(1_800));
        directory.apply(List.of(), 9_000);
        assertTrue(directory.mayMissServers(9_000));
        assertFalse(directory.mayMissServers(11_300));
    }

    /** Guards against losing servers that registered after the copy from which the store was restored. */
    @Test
    void serversMissingAfterARestoreAreKeptUntilTheyCanHaveRegisteredAgain() {
        ServerDirectory directory = ServerDirectory.create();
        directory.apply(List.of(registration("a", false), registration("b", false)), 1_000);
        directory.storeRestored(1_700);
        directory.apply(List.of(registration("a", false)), 1_800);
        directory.apply(List.of(registration("a", false)), 2_600);
        assertEquals(2, directory.available("model").size());
        directory.apply(List.of(registration("a", false)), 4_000);
        assertEquals(1, directory.available("model").size());
    }

    /** Guards against requests to a server that had left, whose registration is in the copy. */
    @Test
    void serverThatLeftBeforeARestoreIsNotUsedUntilItsRegistrationOutlastsItsLapse() {
        ServerDirectory directory = ServerDirectory.create();
        directory.apply(List.of(registration("a", false), registration("b", false)), 1_000);
        directory.apply(List.of(registration("a", false)), 1_800);
        directory.storeRestored(2_500);
        directory.apply(List.of(registration("a", false), registration("b", false)), 2_600);
        assertEquals(1, directory.available("model").size());
        directory.apply(List.of(registration("a", false), registration("b", false)), 7_600);
        assertEquals(2, directory.available("model").size(), "still registered, so it runs");
    }

    /** Guards against replacing a restarted server by its earlier instance, whose registration is in the copy. */
    @Test
    void earlierInstanceInARestoredListDoesNotReplaceTheCurrentOne() {
        ServerDirectory directory = ServerDirectory.create();
        directory.apply(List.of(registration("a", 10)), 1_000);
        directory.apply(List.of(registration("a", 20)), 1_800);
        directory.storeRestored(2_500);
        directory.apply(List.of(registration("a", 10)), 2_600);
        assertEquals("a@20", directory.available("model").get(0).instanceId());
    }

    @Test
    void drainingServerStaysDraining() {
        ServerDirectory directory = ServerDirectory.create();
        directory.apply(List.of(registration("a", true)), 1_000);
        directory.apply(List.of(registration("a", false)), 1_800);
        assertTrue(directory.available("model").isEmpty());
    }

    @Test
    void digestDoesNotDependOnTheOrderOfTheList() {
        ServerDirectory one = ServerDirectory.create();
        ServerDirectory other = ServerDirectory.create();
        one.apply(List.of(registration("a", false), registration("b", false)), 1);
        other.apply(List.of(registration("b", false), registration("a", false)), 1);
        assertEquals(one.digest(), other.digest());
        other.apply(List.of(registration("b", true), registration("a", false)), 2);
        assertNotEquals(one.digest(), other.digest());
    }

    /**
     * Guards against a list that keeps servers which have left: the host was suspended while the list was requested, so
     * that its clock puts the request before the confirmation of an older list.
     */
    @Test
    void listReadLaterIsNewestThoughItSeemsToBeRequestedEarlier() {
        ServerDirectory directory = ServerDirectory.create();
        directory.apply(List.of(registration("a", false), registration("b", false)), 1_000, StorePosition.of(1, 10));
        directory.confirmList(1_500);
        directory.apply(List.of(registration("a", false)), 1_400, StorePosition.of(1, 20));
        assertEquals(1, directory.available("model").size());
        assertEquals(StorePosition.of(1, 20), directory.position());
    }

    /** Guards against a false position of a peer's list that would outlast all answers of the store. */
    @Test
    void storeIsBelievedAgainAfterAListFromTheFuture() {
        ServerDirectory directory = ServerDirectory.create();
        directory.apply(List.of(registration("a", false)), 1_000, StorePosition.of(1, 1_000_000));
        directory.apply(List.of(registration("b", false)), 1_800, StorePosition.of(1, 20));
        assertEquals("b", directory.available("model").getFirst().id());
        assertEquals(1, directory.available("model").size());
    }
}
