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
final class ClaimCalls implements AutoCloseable {
    private static final Logger LOG = System.getLogger(ClaimCalls.class.getName());
    /** Claims that are with the platform's store at once: its answers take milliseconds, its rate is a few hundred. */
    private static final int THREADS = 4;

    private final ExecutorService threads = Executors.newFixedThreadPool(
            THREADS, Thread.ofPlatform().name("claims-", 0).daemon().factory());
    private final ClaimStore store;
    private final NodeMetrics metrics;

    ClaimCalls(ClaimStore store, NodeMetrics metrics) {
        this.store = store;
        this.metrics = metrics;
    }

    /** Claims a key; {@code done} hears what the store decided, on one of these threads. */
    void claim(ClaimEntry wanted, long expectedGeneration, Consumer<ClaimDecision> done) {
        run(() -> done.accept(store.claim(wanted, expectedGeneration)));
    }

    /** Gives a claim back, if the store answers. */
    void release(ClaimEntry claim) {
        run(() -> {
            try {
                store.release(claim);
            } catch (PlatformException e) {
                metrics.count("platform_call_failed");
                LOG.log(Level.INFO, "claim " + claim.digest() + " was not given back: " + e.getMessage());
            }
        });
    }

    private void run(Runnable call) {
        try {
            threads.execute(() -> {
                metrics.count("platform_call");
                call.run();
            });
        } catch (RejectedExecutionException e) {
            metrics.count("platform_call_after_stop");
        }
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }
}
