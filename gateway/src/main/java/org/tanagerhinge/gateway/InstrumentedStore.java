package org.tanagerhinge.gateway;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.tanagerhinge.core.attempt.CrashSuspect;
import org.tanagerhinge.core.relay.RelayConfig;
import org.tanagerhinge.core.relay.ServerRegistration;
import org.tanagerhinge.core.store.StorePosition;
import org.tanagerhinge.node.metrics.NodeMetrics;

/** Measures duration and outcome of each call to the platform's store. */
final class InstrumentedStore implements MetadataStore {
    private final MetadataStore store;
    private final NodeMetrics metrics;

    private InstrumentedStore(MetadataStore store, NodeMetrics metrics) {
        this.store = store;
        this.metrics = metrics;
    }

    /** Returns a store that delegates to another one and records metrics. */
    static InstrumentedStore of(MetadataStore store, NodeMetrics metrics) {
        return new InstrumentedStore(store, metrics);
    }

    private <T> Consumer<Reply<T>> timed(String call, Consumer<Reply<T>> onReply) {
        long startedAtNanos = System.nanoTime();
        return reply -> {
            metrics.observeStoreCall(call, reply.result(), Duration.ofNanos(System.nanoTime() - startedAtNanos));
            onReply.accept(reply);
        };
    }

    @Override
    public void listServers(long timeoutMillis, Consumer<Reply<Listing<ServerRegistration>>> onReply) {
        store.listServers(timeoutMillis, timed("servers", onReply));
    }

    @Override
    public void readConfig(long timeoutMillis, Consumer<Reply<StoredConfig>> onReply) {
        store.readConfig(timeoutMillis, timed("config", onReply));
    }

    @Override
    public void watchConfig(StorePosition after, long waitMillis, Consumer<Reply<StoredConfig>> onReply) {
        store.watchConfig(after, waitMillis, timed("config_watch", onReply));
    }

    @Override
    public RelayConfig decodeConfig(byte[] document) throws IOException {
        return store.decodeConfig(document);
    }

    @Override
    public void registerGateway(String name, String address, Duration leaseTtl, Consumer<Reply<Long>> onReply) {
        store.registerGateway(name, address, leaseTtl, timed("join", onReply));
    }

    @Override
    public void keepAlive(long leaseId, Consumer<Reply<Boolean>> onReply) {
        store.keepAlive(leaseId, timed("keep", onReply));
    }

    @Override
    public void listGateways(Consumer<Reply<Listing<String>>> onReply) {
        store.listGateways(timed("gateways", onReply));
    }

    @Override
    public void quarantine(Quarantined quarantined, Duration duration, Consumer<Reply<Long>> onReply) {
        store.quarantine(quarantined, duration, timed("hold", onReply));
    }

    @Override
    public void endQuarantine(CrashSuspect suspect, Consumer<Reply<Boolean>> onReply) {
        store.endQuarantine(suspect, timed("unhold", onReply));
    }

    @Override
    public void listQuarantined(Consumer<Reply<Listing<Quarantined>>> onReply) {
        store.listQuarantined(timed("held", onReply));
    }

    @Override
    public void recordSoftwareVersions(
            List<ServiceVersion> versions, Duration duration, Consumer<Reply<Long>> onReply) {
        store.recordSoftwareVersions(versions, duration, timed("record_software", onReply));
    }

    @Override
    public void listSoftwareVersions(long timeoutMillis, Consumer<Reply<Listing<ServiceVersion>>> onReply) {
        store.listSoftwareVersions(timeoutMillis, timed("software", onReply));
    }
}
