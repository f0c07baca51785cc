package org.tanagerhinge.gateway;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.tanagerhinge.core.attempt.RequestFingerprint;
import org.tanagerhinge.core.relay.RelayConfig;
import org.tanagerhinge.node.metrics.NodeMetrics;

/** Measures how long each call of the platform's store takes, and how it ends. */
final class InstrumentedStore implements MetadataStore {
    private final MetadataStore store;
    private final NodeMetrics metrics;

    private InstrumentedStore(MetadataStore store, NodeMetrics metrics) {
        this.store = store;
        this.metrics = metrics;
    }

    /** Returns a store that makes the calls of another one. */
    static InstrumentedStore of(MetadataStore store, NodeMetrics metrics) {
        return new InstrumentedStore(store, metrics);
    }

    private <T> Consumer<Reply<T>> timed(String call, Consumer<Reply<T>> done) {
        long began = System.nanoTime();
        return reply -> {
            metrics.storeCall(call, reply.result(), Duration.ofNanos(System.nanoTime() - began));
            done.accept(reply);
        };
    }

    @Override
    public void listServers(long timeoutMillis, Consumer<Reply<ServerListing>> done) {
        store.listServers(timeoutMillis, timed("servers", done));
    }

    @Override
    public void readConfig(long timeoutMillis, Consumer<Reply<StoredConfig>> done) {
        store.readConfig(timeoutMillis, timed("config", done));
    }

    @Override
    public void watchConfig(long revision, long waitMillis, Consumer<Reply<StoredConfig>> done) {
        store.watchConfig(revision, waitMillis, timed("config_watch", done));
    }

    @Override
    public RelayConfig decodeConfig(byte[] document) throws IOException {
        return store.decodeConfig(document);
    }

    @Override
    public void registerGateway(String name, String address, Duration lease, Consumer<Reply<Long>> done) {
        store.registerGateway(name, address, lease, timed("join", done));
    }

    @Override
    public void keepAlive(long lease, Consumer<Reply<Boolean>> done) {
        store.keepAlive(lease, timed("keep", done));
    }

    @Override
    public void listGateways(Consumer<Reply<List<String>>> done) {
        store.listGateways(timed("gateways", done));
    }

    @Override
    public void quarantine(RequestFingerprint request, Duration time, Consumer<Reply<Long>> done) {
        store.quarantine(request, time, timed("hold", done));
    }

    @Override
    public void listQuarantined(Consumer<Reply<List<RequestFingerprint>>> done) {
        store.listQuarantined(timed("held", done));
    }
}
