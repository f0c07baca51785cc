package org.tanagerhinge.gateway;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.tanagerhinge.core.attempt.RequestFingerprint;
import org.tanagerhinge.core.relay.RelayConfig;
import org.tanagerhinge.node.metrics.NodeMetrics;

/** Measures how long each call of the platform's store takes, and how it ends. */
final class MeasuredStore implements MetadataStore {
    private final MetadataStore store;
    private final NodeMetrics metrics;

    private MeasuredStore(MetadataStore store, NodeMetrics metrics) {
        this.store = store;
        this.metrics = metrics;
    }

    /** Returns a store that makes the calls of another one. */
    static MeasuredStore of(MetadataStore store, NodeMetrics metrics) {
        return new MeasuredStore(store, metrics);
    }

    private <T> Consumer<Reply<T>> timed(String call, Consumer<Reply<T>> done) {
        long began = System.nanoTime();
        return reply -> {
            metrics.storeCall(call, reply.result(), Duration.ofNanos(System.nanoTime() - began));
            done.accept(reply);
        };
    }

    @Override
    public void servers(long timeoutMillis, Consumer<Reply<Listing>> done) {
        store.servers(timeoutMillis, timed("servers", done));
    }

    @Override
    public void config(long timeoutMillis, Consumer<Reply<StoredConfig>> done) {
        store.config(timeoutMillis, timed("config", done));
    }

    @Override
    public void configAfter(long revision, long waitMillis, Consumer<Reply<StoredConfig>> done) {
        store.configAfter(revision, waitMillis, timed("config_watch", done));
    }

    @Override
    public RelayConfig decode(byte[] document) throws IOException {
        return store.decode(document);
    }

    @Override
    public void join(String name, String address, Duration lease, Consumer<Reply<Long>> done) {
        store.join(name, address, lease, timed("join", done));
    }

    @Override
    public void keep(long lease, Consumer<Reply<Boolean>> done) {
        store.keep(lease, timed("keep", done));
    }

    @Override
    public void gateways(Consumer<Reply<List<String>>> done) {
        store.gateways(timed("gateways", done));
    }

    @Override
    public void hold(RequestFingerprint request, Duration time, Consumer<Reply<Long>> done) {
        store.hold(request, time, timed("hold", done));
    }

    @Override
    public void held(Consumer<Reply<List<RequestFingerprint>>> done) {
        store.held(timed("held", done));
    }
}
