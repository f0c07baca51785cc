package org.tanagerhinge.router;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.tanagerhinge.core.claim.ClaimDecision;
import org.tanagerhinge.core.message.ClaimEntry;
import org.tanagerhinge.core.message.StoredClaim;
import org.tanagerhinge.core.store.StoreEra;
import org.tanagerhinge.node.log.LogEvent;
import org.tanagerhinge.node.log.LogField;
import org.tanagerhinge.node.log.LogLine;
import org.tanagerhinge.node.metrics.NodeMetrics;
import org.tanagerhinge.node.platform.ClaimStore;
import org.tanagerhinge.node.platform.PlatformException;

/** Claims and releases idempotency keys on its own threads, so that the control thread never blocks on the store. */
final class AsyncClaimStore implements AutoCloseable {
    private static final Logger LOG = System.getLogger(AsyncClaimStore.class.getName());
    /** Calls to the store at once: it answers within milliseconds and takes a few hundred calls per second. */
    private static final int CONCURRENT_CALLS = 4;

    private final ExecutorService executor = Executors.newFixedThreadPool(
            CONCURRENT_CALLS, Thread.ofPlatform().name("claims-", 0).daemon().factory());
    private final AtomicBoolean recovering = new AtomicBoolean();
    private final AtomicBoolean checkingEra = new AtomicBoolean();
    private final ClaimStore store;
    private final NodeMetrics metrics;
    private volatile long loggedEra = StoreEra.UNKNOWN;
    /** Latest era stated by an agent for which the store was asked. */
    private volatile long checkedEra = StoreEra.UNKNOWN;

    AsyncClaimStore(ClaimStore store, NodeMetrics metrics) {
        this.store = store;
        this.metrics = metrics;
    }

    /** Claims a key; {@code onDecision} is called with the result on one of the store's threads. */
    void claim(ClaimEntry requested, long expectedGeneration, Consumer<ClaimDecision> onDecision) {
        submit(() -> {
            ClaimDecision decision = decide(requested, expectedGeneration);
            if (decision instanceof ClaimDecision.Unsettled && store.recoveryDue()) {
                metrics.count("claim_held_after_restore");
            }
            onDecision.accept(decision);
        });
    }

    /** Returns the store's decision. Without one, the request would have no answer, whatever the store throws. */
    private ClaimDecision decide(ClaimEntry requested, long expectedGeneration) {
        try {
            return store.claim(requested, expectedGeneration);
        } catch (Throwable e) {
            metrics.count("internal_error");
            LOG.log(Level.ERROR, "the claim " + requested.digest() + " failed", e);
            return new ClaimDecision.Unsettled("the claim failed: " + e);
        }
    }

    /** Releases a claim; a failed call is counted and logged, and the claim then ends with its lease. */
    void release(ClaimEntry claim) {
        submit(() -> {
            try {
                store.release(claim);
            } catch (PlatformException e) {
                metrics.count("platform_call_failed");
                LOG.log(Level.INFO, "claim " + claim.digest() + " could not be released: " + e.getMessage());
            }
        });
    }

    /** Keeps claims that an agent reported, to be written again if the store loses them. */
    void keep(List<StoredClaim> claims) {
        claims.forEach(store::keep);
    }

    /** Returns the latest era that the store has stated. */
    long era() {
        return store.era();
    }

    /**
     * Asks the store for its era and recovers claims if it was restored. An era that the store does not confirm is not
     * asked for again.
     */
    void checkEra(long stated) {
        if (stated > checkedEra && checkingEra.compareAndSet(false, true)) {
            submit(() -> checkEraNow(stated));
        }
    }

    private void checkEraNow(long stated) {
        try {
            store.refreshEra();
            checkedEra = stated;
        } catch (PlatformException e) {
            metrics.count("platform_call_failed");
            LOG.log(Level.INFO, "the store's era could not be read: " + e.getMessage());
        } finally {
            checkingEra.set(false);
        }
        recover();
    }

    /** Writes claims again if the store was restored; does nothing while an earlier call is running. */
    void recover() {
        if (store.recoveryDue() && recovering.compareAndSet(false, true)) {
            submit(this::recoverNow);
        }
    }

    private void recoverNow() {
        logRestore();
        try {
            store.recover();
        } catch (PlatformException e) {
            metrics.count("platform_call_failed");
            LOG.log(Level.INFO, "claims could not be written again after a restore: " + e.getMessage());
        } finally {
            recovering.set(false);
        }
    }

    /** Writes a log line for each era after the first one known; called by one thread at a time. */
    private void logRestore() {
        long era = store.era();
        if (loggedEra != StoreEra.UNKNOWN && era > loggedEra) {
            LogLine.of(LogEvent.STORE_RESTORED)
                    .with(LogField.ERA, era)
                    .with(LogField.WHY, "claims are written again; keyed requests are refused until they are settled")
                    .write();
        }
        loggedEra = era;
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
