package org.tanagerhinge.bench.relay;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.gateway.GatewayDaemon;
import org.tanagerhinge.platform.PlatformNames;
import org.tanagerhinge.standin.relay.ServerStandin;
import org.tanagerhinge.standin.relay.StoreStandin;

/** Tests gateways whose store comes back from an older copy, with revisions and lease ids that are given out again. */
class RestoredStoreTest {
    private static final int LOST_WRITES = 40;

    private RelayScene scene;

    @BeforeEach
    void setUp() {
        scene = new RelayScene();
        scene.platform.service("plain", 0);
        scene.platform.route("/safe/", "safe", "plain");
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
    @Test
    void versionWrittenBelowARevisionOfTheEarlierDataComesIntoForce() throws IOException {
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
