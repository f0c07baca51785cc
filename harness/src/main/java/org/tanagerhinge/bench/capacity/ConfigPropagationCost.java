package org.tanagerhinge.bench.capacity;

import org.tanagerhinge.bench.cluster.LocalCluster;
import org.tanagerhinge.core.config.ConfigRevision;
import org.tanagerhinge.core.result.TanagerhingeException;
import org.tanagerhinge.standin.EngineModel;

/** Measures the time until an accepted edit is active on all nodes, and the platform calls of idle nodes. */
final class ConfigPropagationCost {
    private static final int EDIT_COUNT = 5;
    private static final int IDLE_MILLIS = 4000;

    private ConfigPropagationCost() {}

    static void measure(CapacityMeasurement capacity) throws TanagerhingeException {
        for (int routers : new int[] {1, 2, 4, 8}) {
            try (LocalCluster cluster = LocalCluster.create(LocalCluster.Kind.PRODUCT)) {
                cluster.profiles(CapacityFixture.config(1, 10).profiles());
                for (int i = 0; i < routers; i++) {
                    cluster.engine("engine-" + i, "domain-" + i % 3, EngineModel.small());
                }
                for (int i = 0; i < routers; i++) {
                    cluster.router("router-" + i, "domain-" + i % 3);
                }
                cluster.awaitReady();
                capacity.record(
                        "accepted edit in force on all nodes, nodes", 2L * routers, "ms", propagationMillis(cluster));
                capacity.record(
                        "calls to the platform while idle, nodes",
                        2L * routers,
                        "calls/s",
                        idleCallsPerSecond(cluster));
            }
        }
    }

    private static double[] propagationMillis(LocalCluster cluster) throws TanagerhingeException {
        double[] millis = new double[EDIT_COUNT];
        for (int i = 0; i < EDIT_COUNT; i++) {
            long baseRevision = cluster.store().read().profiles().revision();
            cluster.store().editProfiles(baseRevision, before -> before);
            long acceptedNanos = System.nanoTime();
            cluster.await(ConfigRevision.of(baseRevision + 1, 0));
            millis[i] = (System.nanoTime() - acceptedNanos) / 1e6;
        }
        return millis;
    }

    private static double idleCallsPerSecond(LocalCluster cluster) {
        long callsBefore = cluster.platform().calls();
        try {
            Thread.sleep(IDLE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return (cluster.platform().calls() - callsBefore) * 1000.0 / IDLE_MILLIS;
    }
}
