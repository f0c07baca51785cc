package org.tanagerhinge.router;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import org.tanagerhinge.core.claim.ClaimDecision;
import org.tanagerhinge.core.message.ClaimEntry;
import org.tanagerhinge.node.metrics.NodeMetrics;
import org.tanagerhinge.node.platform.ClaimStore;
import org.tanagerhinge.node.platform.PlatformException;

/** Makes the calls for claims of keys on threads of their own, since the control thread must not wait for the store. */
final class AsyncClaimStore implements AutoCloseable {
    private static final Logger LOG = System.getLogger(AsyncClaimStore.class.getName());
    /** Claims that are with the platform's store at once: its answers take milliseconds, its rate is a few hundred. */
    private static final int CONCURRENT_CALLS = 4;

    private final ExecutorService executor = Executors.newFixedThreadPool(
            CONCURRENT_CALLS, Thread.ofPlatform().name("claims-", 0).daemon().factory());
    private final ClaimStore store;
    private final NodeMetrics metrics;

    AsyncClaimStore(ClaimStore store, NodeMetrics metrics) {
        this.store = store;
        this.metrics = metrics;
    }

    /** Claims a key; {@code done} hears what the store decided, on one of these threads. */
    void claim(ClaimEntry requested, long expectedGeneration, Consumer<ClaimDecision> onDecision) {
        submit(() -> onDecision.accept(store.claim(requested, expectedGeneration)));
    }

    /** Gives a claim back, if the store answers. */
    void release(ClaimEntry claim) {
        submit(() -> {
            try {
                store.release(claim);
            } catch (PlatformException e) {
                metrics.count("platform_call_failed");
                LOG.log(Level.INFO, "claim " + claim.digest() + " was not given back: " + e.getMessage());
            }
        });
    }

    private void submit(Runnable call) {
        try {
            executor.execute(() -> {
                metrics.count("platform_call");
                call.run();
            });
        } catch (RejectedExecutionException e) {
            metrics.count("platform_call_after_stop");
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
