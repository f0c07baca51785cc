package org.tanagerhinge.bench.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerhinge.core.attempt.RequestFingerprint;
import org.tanagerhinge.gateway.GatewayDaemon;
import org.tanagerhinge.platform.PlatformNames;
import org.tanagerhinge.standin.relay.ServerStandin;
import org.tanagerhinge.standin.relay.StoreStandin;

/** Tests gateways whose store comes back from an older copy, with revisions and lease ids that are given out again. */
class RestoredStoreTest {
    private static final int LOST_WRITES = 40;
    private static final long LEASE_OF_ANOTHER_NODE_MILLIS = 600_000;

    private RelayScene scene;

    @BeforeEach
    void setUp() {
        scene = new RelayScene();
        scene.platform.service("plain", 0);
        scene.platform.service("late", 0);
        scene.platform.route("/safe/", "safe", "plain");
        scene.platform.route("/late/", "safe", "late");
        scene.platform.workspace("coop", "key-1");
        scene.platform.publish();
        scene.server("s-1", "plain", ServerStandin.plain(200, "x"));
    }

    @AfterEach
    void tearDown() {
        scene.close();
    }

    private void writeOften(int writes) {
        for (int i = 0; i < writes; i++) {
            scene.store.put("servers-load/" + i, "written " + i);
        }
    }

    /** Waits until the configuration is watched from the store's current revision. */
    private void awaitWatchOfAllWrites() {
        RelayScene.await(() -> scene.store.lastWatchedRevision() == scene.store.revision());
    }

    /**
     * Guards against a watch that continues from a revision of the store's earlier data: it misses a version that was
     * written at or below that revision, until the next version is written.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void versionWrittenBelowARevisionOfTheEarlierDataComesIntoForce(boolean statesEra) throws IOException {
        scene.store.statesEra(statesEra);
        GatewayDaemon gateway = scene.gateway();
        StoreStandin.Snapshot copy = scene.store.snapshot();
        writeOften(LOST_WRITES);
        awaitWatchOfAllWrites();
        scene.store.restore(copy, StoreStandin.WaitingCalls.RESET);
        long[] version = new long[1];
        scene.store.afterNextCall(PlatformNames.KEY_PATH, () -> {
            version[0] = scene.platform.publish();
            writeOften(2 * LOST_WRITES);
        });
        RelayScene.await(() -> version[0] > 0 && gateway.configVersion() == version[0]);
    }

    /** Guards against refusing requests while the only server, which registered after the copy, registers again. */
    @Test
    void serverThatRegisteredAfterTheCopyIsUsedUntilItRegistersAgain() throws IOException {
        GatewayDaemon reader = scene.gateway();
        GatewayDaemon other = scene.gateway();
        StoreStandin.Snapshot copy = scene.store.snapshot();
        scene.server("late-1", "late", ServerStandin.plain(200, "x"));
        RelayScene.await(
                () -> RelayScene.status(reader, "/late/x") == 200 && RelayScene.status(other, "/late/x") == 200);
        boolean[] registered = new boolean[1];
        scene.store.afterNextCall(PlatformNames.RANGE_PATH, () -> {
            Map<String, String> lost = scene.store.restore(copy, StoreStandin.WaitingCalls.RESET);
            scene.store.afterNextCall(PlatformNames.RANGE_PATH, () -> {
                scene.store.putAll(lost);
                registered[0] = true;
            });
        });
        RelayScene.await(() -> registered[0]);
        int listings = scene.store.calls(PlatformNames.RANGE_PATH);
        while (scene.store.calls(PlatformNames.RANGE_PATH) < listings + 2) {
            assertEquals(200, RelayScene.status(reader, "/late/x"));
            assertEquals(200, RelayScene.status(other, "/late/x"));
        }
    }

    /**
     * Guards against a gateway that renews a lease which another node holds now, while its own registration is lost and
     * new gateways do not find it.
     */
    @Test
    void gatewayRegistersAgainAlthoughItsLeaseIdWasAssignedToAnotherNode() throws IOException {
        StoreStandin.Snapshot copy = scene.store.snapshot();
        scene.gateway();
        RelayScene.await(() -> scene.store.keys("gateways/").size() == 1);
        scene.store.restore(copy, StoreStandin.WaitingCalls.RESET);
        scene.store.grantLease(LEASE_OF_ANOTHER_NODE_MILLIS);
        RelayScene.await(() -> scene.store.keys("gateways/").size() == 1);
    }

    /** Guards against losing the quarantine of a request that crashes servers, when all gateways stop later. */
    @Test
    void quarantinedRequestsAreStoredAgain() throws IOException {
        RequestFingerprint request = new RequestFingerprint(7, 9);
        StoreStandin.Snapshot copy = scene.store.snapshot();
        scene.store.put("held/" + request, "");
        GatewayDaemon gateway = scene.gateway();
        RelayScene.await(() -> gateway.metrics().text().contains("reason=\"request_held\""));
        scene.store.restore(copy, StoreStandin.WaitingCalls.RESET);
        RelayScene.await(() -> scene.store.keys("held/").contains("held/" + request));
    }

    /** Guards against losing the software versions that have served, when all gateways stop later. */
    @Test
    void softwareVersionsAreStoredAgain() throws IOException {
        scene.server("s-2", "plain", "v1", ServerStandin.plain(200, "x"));
        StoreStandin.Snapshot copy = scene.store.snapshot();
        scene.gateway();
        RelayScene.await(() -> scene.store.keys("software/").contains("software/plain/v1"));
        scene.store.restore(copy, StoreStandin.WaitingCalls.RESET);
        RelayScene.await(() -> scene.store.keys("software/").contains("software/plain/v1"));
    }

    /**
     * Guards against a watch that outlasts a restore and is answered from the new data, without the versions that were
     * written at or below the revision it had asked for.
     */
    @Test
    void watchThatOutlastsARestoreMissesNoVersion() throws IOException {
        GatewayDaemon gateway = scene.gateway();
        StoreStandin.Snapshot copy = scene.store.snapshot();
        writeOften(LOST_WRITES);
        awaitWatchOfAllWrites();
        long[] version = new long[1];
        scene.store.afterNextCall(PlatformNames.RANGE_PATH, () -> {
            scene.store.restore(copy, StoreStandin.WaitingCalls.CONTINUE);
            version[0] = scene.platform.publish();
            writeOften(2 * LOST_WRITES);
        });
        RelayScene.await(() -> version[0] > 0 && gateway.configVersion() == version[0]);
    }
}
