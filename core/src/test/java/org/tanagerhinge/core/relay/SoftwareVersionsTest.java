package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against a directory that forgets at once which software versions have served. */
class SoftwareVersionsTest {
    private final ServerDirectory directory = ServerDirectory.create();

    private static ServerRegistration registration(String id, String softwareVersion) {
        return new ServerRegistration(
                id, 0, softwareVersion, "model", new InetSocketAddress("127.0.0.1", 1), "north", 48, false);
    }

    @Test
    void versionThatHasLeftIsKnownUntilNoStreamOfItCanBeResumed() {
        directory.apply(List.of(registration("a", "v1"), registration("b", "v2")), 0);
        directory.apply(List.of(registration("b", "v2")), 1_000);
        assertEquals(Set.of("v1", "v2"), directory.softwareVersions("model", 2_000));
        assertEquals(Set.of("v2"), directory.softwareVersions("model", 1_001 + SoftwareVersions.RETENTION_MILLIS));
    }

    @Test
    void restartUnderTheSameIdByAnotherVersionReplacesTheInstance() {
        directory.apply(List.of(registration("a", "v1")), 0);
        long digest = directory.digest();
        directory.apply(List.of(registration("a", "v2")), 1_000);
        assertEquals("v2", directory.instance("a").softwareVersion());
        assertEquals(Set.of("v1", "v2"), directory.softwareVersions("model", 2_000));
        assertNotEquals(digest, directory.digest(), "the digest must change with the version");
    }

    @Test
    void listOfANodeThatPassesOnNoVersionsChangesNothing() {
        directory.apply(List.of(registration("a", "v1")), 0);
        assertTrue(directory.apply(List.of(registration("a", "")), 1_000).isEmpty());
        assertEquals("v1", directory.instance("a").softwareVersion());
    }

    /** Covers a version that comes and leaves while this node has no list, as one that is cut off. */
    @Test
    void historyIsIncompleteAfterATimeWithoutAList() {
        directory.apply(List.of(registration("b", "v2")), 0);
        directory.versionHistory().recordHistory(List.of(), 0);
        directory.confirmList(SoftwareVersions.MAX_LIST_GAP_MILLIS);
        assertTrue(directory.versionHistory().complete(SoftwareVersions.MAX_LIST_GAP_MILLIS));
        long later = 2 * SoftwareVersions.MAX_LIST_GAP_MILLIS + 1;
        directory.confirmList(later);
        assertFalse(directory.versionHistory().complete(later + SoftwareVersions.RETENTION_MILLIS));
        assertTrue(directory.versionHistory().complete(later + SoftwareVersions.RETENTION_MILLIS + 1));
        directory.versionHistory().recordHistory(List.of(), later);
        assertTrue(directory.versionHistory().complete(later));
    }

    @Test
    void historyIsCompleteOnceItIsReceivedOrNoStreamIsOlder() {
        assertFalse(directory.versionHistory().complete(0));
        directory.apply(List.of(registration("b", "v2")), 0);
        assertFalse(directory.versionHistory().complete(SoftwareVersions.RETENTION_MILLIS));
        assertTrue(directory.versionHistory().complete(SoftwareVersions.RETENTION_MILLIS + 1));
        directory.versionHistory().recordHistory(List.of(new SoftwareVersions.Departed("model", "v1", 500)), 1_000);
        assertTrue(directory.versionHistory().complete(1_000));
        assertEquals(Set.of("v1", "v2"), directory.softwareVersions("model", 1_000));
        assertEquals(
                List.of(new SoftwareVersions.Departed("model", "v1", 700)),
                directory.versionHistory().history(1_200));
    }
}
