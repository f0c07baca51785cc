package org.tanagerhinge.gateway;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.tanagerhinge.core.attempt.Quarantine;
import org.tanagerhinge.core.attempt.RequestFingerprint;
import org.tanagerhinge.node.log.LogEvent;
import org.tanagerhinge.node.log.LogField;
import org.tanagerhinge.node.log.LogLine;

/**
 * Keeps a gateway's configuration and server list up to date with the platform's store.
 *
 * <p>The configuration is watched: it changes seldom, so a waiting call costs least. The servers are polled: each
 * refreshes its registration about once a second, so a watch would be answered many times as often. Only the gateway that
 * reads for all ({@link org.tanagerhinge.core.relay.PeerTable}) makes these calls; the others hear of changes from their
 * peers and ask the store themselves when their list has grown old.
 */
final class StoreSynchronizer {
    private static final Logger LOG = System.getLogger(StoreSynchronizer.class.getName());
    /** How often the servers are read, in milliseconds: well under the bound for servers that leave. */
    private static final int SERVERS_POLL_MILLIS = 800;
    /**
     * A list that is older than this and the time between two reports is read again also by a gateway that doesn't read
     * for all: its peers seem to fail it.
     */
    private static final long STALE_LIST_MILLIS = 1_150;
    /** How long a watch waits: a connection that has fallen silent must show within the bound of configuration. */
    private static final long WATCH_WAIT_MILLIS = 1_500;
    /** Pause before the next watch after a change, so that versions in quick succession are taken in together. */
    private static final int CHANGE_BATCH_MILLIS = 150;
    /** How long a call may take, in milliseconds: five times as long as one to a store that is 75 times slower than usual. */
    private static final long TIMEOUT_MILLIS = 1_500;
    /**
     * How long a call of a gateway that can serve nobody yet may take, in milliseconds: a store that returns from an outage
     * doesn't answer the calls that were made during it, and each moment until the next one is time in which callers are
     * refused. Three times what such a call takes on a host with a quarter of a core that has just started.
     */
    private static final long INITIAL_TIMEOUT_MILLIS = 800;
    /** Pause after a failed call, in milliseconds. */
    private static final int RETRY_MILLIS = 250;
    /** The same of a gateway that can serve nobody yet. */
    private static final int INITIAL_RETRY_MILLIS = 100;
    /** Least time between two such calls of a gateway that its peers fail: many reports may tell it of the same version. */
    private static final long MIN_CATCH_UP_INTERVAL_MILLIS = 400;
    /** How often a gateway that doesn't read looks whether it has to, in milliseconds. */
    private static final int STANDBY_CHECK_MILLIS = 200;

    /** Unreadable entries of one list that are told of: a writer may leave any number. */
    private static final int MAX_UNREADABLE_LOGGED = 20;

    private static final Duration LEASE_TTL = Duration.ofSeconds(12);
    /** How often the lease is kept: a few may fail before it ends. */
    private static final int KEEP_ALIVE_MILLIS = 3_000;

    private final Gateway gateway;
    private final MetadataStore store;
    private final PeerSynchronizer peers;
    private long revision = -1;
    private boolean watching;
    private long leaseId;
    private long nextCatchUpMillis = Long.MIN_VALUE;
    private boolean storeReachable = true;
    private List<MetadataStore.UnreadableEntry> loggedUnreadable = List.of();

    private StoreSynchronizer(Gateway gateway, MetadataStore store, PeerSynchronizer peers) {
        this.gateway = gateway;
        this.store = store;
        this.peers = peers;
    }

    /** Starts to read; returns at once. */
    static StoreSynchronizer start(Gateway gateway, MetadataStore store, PeerSynchronizer peers) {
        StoreSynchronizer synchronizer = new StoreSynchronizer(gateway, store, peers);
        peers.storeReachable(() -> synchronizer.storeReachable);
        peers.onConfigFetchFailed(synchronizer::catchUp);
        synchronizer.runGuarded(synchronizer::readConfig);
        synchronizer.runGuarded(synchronizer::register);
        synchronizer.runGuarded(synchronizer::readServers);
        synchronizer.runGuarded(synchronizer::readQuarantine);
        gateway.onQuarantine(synchronizer::quarantine);
        return synchronizer;
    }

    private long timeoutMillis() {
        return gateway.initialized() ? TIMEOUT_MILLIS : INITIAL_TIMEOUT_MILLIS;
    }

    private int retryMillis() {
        return gateway.initialized() ? RETRY_MILLIS : INITIAL_RETRY_MILLIS;
    }

    private boolean isReader() {
        return peers.table().isStoreReader(storeReachable, gateway.nowMillis());
    }

    private void pollServers() {
        long ageMillis = gateway.nowMillis() - gateway.directory().newestListMillis();
        boolean stale = !gateway.directory().hasList() || ageMillis > STALE_LIST_MILLIS + peers.intervalMillis();
        boolean reads = isReader();
        if (stale && !reads && gateway.initialized()) {
            catchUp();
        }
        if (stale || reads) {
            readServers();
        } else {
            schedule(this::pollServers, STANDBY_CHECK_MILLIS);
        }
    }

    /**
     * Asks for the configuration once, since the gateway that reads for all seems to fail this one. What goes wrong without it:
     * the store turns some gateways away, that one and the next ones among them. Each finds that out only when its calls have
     * had no answer in time, one after the other, while a version is written that has to be in force before they have. Or peers
     * tell of a version and can't be asked for it.
     */
    private void catchUp() {
        long nowMillis = gateway.nowMillis();
        if (nowMillis < nextCatchUpMillis) {
            return;
        }
        nextCatchUpMillis = nowMillis + MIN_CATCH_UP_INTERVAL_MILLIS;
        store.readConfig(timeoutMillis(), reply -> {
            if (reply instanceof MetadataStore.Success<MetadataStore.StoredConfig> answer) {
                markReachable();
                if (answer.value().document() != null) {
                    apply(answer.value().document());
                }
            } else {
                recordFailure(reply);
            }
        });
    }

    private void readServers() {
        long requestedAtMillis = gateway.nowMillis();
        store.listServers(timeoutMillis(), guarded(this::pollServers, reply -> {
            if (reply instanceof MetadataStore.Success<MetadataStore.ServerListing> answer) {
                markReachable();
                logUnreadable(answer.value().unreadable());
                if (gateway.apply(answer.value().servers(), requestedAtMillis)) {
                    peers.reportNow();
                }
                boolean empty = gateway.directory().all().isEmpty();
                schedule(this::pollServers, empty ? RETRY_MILLIS : SERVERS_POLL_MILLIS);
                return;
            }
            recordFailure(reply);
            schedule(this::pollServers, retryMillis());
        }));
    }

    /** Tells of each entry that can't be read once, for as long as it stays as it is. */
    private void logUnreadable(List<MetadataStore.UnreadableEntry> entries) {
        List<MetadataStore.UnreadableEntry> logged =
                entries.subList(0, Math.min(MAX_UNREADABLE_LOGGED, entries.size()));
        for (MetadataStore.UnreadableEntry entry : logged) {
            if (!loggedUnreadable.contains(entry)) {
                gateway.count("entry_unreadable");
                LogLine.failure(LogEvent.ENTRY_UNREADABLE)
                        .with(LogField.KEY, entry.key())
                        .with(LogField.WHY, entry.reason())
                        .write();
            }
        }
        loggedUnreadable = logged;
    }

    private void watchConfig() {
        if (gateway.config().isPresent() && !isReader()) {
            watching = false;
            schedule(this::watchConfig, STANDBY_CHECK_MILLIS);
        } else if (watching) {
            store.watchConfig(revision, WATCH_WAIT_MILLIS, guarded(this::watchConfig, this::handleConfig));
        } else {
            readConfig();
        }
    }

    private void readConfig() {
        store.readConfig(timeoutMillis(), guarded(this::watchConfig, this::handleConfig));
    }

    private void handleConfig(MetadataStore.Reply<MetadataStore.StoredConfig> reply) {
        if (reply instanceof MetadataStore.Success<MetadataStore.StoredConfig> answer) {
            markReachable();
            MetadataStore.StoredConfig stored = answer.value();
            revision = Math.max(revision, stored.revision());
            watching = gateway.config().isPresent() || stored.document() != null;
            if (stored.document() == null) {
                schedule(this::watchConfig, watching ? 1 : RETRY_MILLIS);
            } else {
                apply(stored.document());
                schedule(this::watchConfig, CHANGE_BATCH_MILLIS);
            }
            return;
        }
        watching = false;
        if (recordFailure(reply)) {
            schedule(this::watchConfig, retryMillis());
        } else {
            watchConfig();
        }
    }

    /**
     * Notes a failed call; returns whether it was one, and not one for history that is gone. These replies are told apart
     * by tests and not by a pattern switch, which costs a restarted gateway 10 ms before its first server list.
     */
    private boolean recordFailure(MetadataStore.Reply<?> reply) {
        if (reply instanceof MetadataStore.Failure<?> failure) {
            markUnreachable(failure.reason());
            return true;
        }
        return false;
    }

    private void apply(byte[] document) {
        try {
            if (gateway.apply(store.decodeConfig(document), document)) {
                peers.reportNow();
            }
        } catch (IOException e) {
            LOG.log(Level.ERROR, "configuration cannot be read, the one in force stays: " + e.getMessage());
        }
    }

    private void register() {
        store.registerGateway(gateway.options().name(), peers.address(), LEASE_TTL, guarded(this::register, reply -> {
            if (reply instanceof MetadataStore.Success<Long> answer) {
                markReachable();
                leaseId = answer.value();
                readGateways();
                schedule(this::keepLeaseAlive, KEEP_ALIVE_MILLIS);
            } else {
                markUnreachable("could not join");
                schedule(this::register, RETRY_MILLIS * 2);
            }
        }));
    }

    private void keepLeaseAlive() {
        store.keepAlive(leaseId, guarded(this::keepLeaseAlive, reply -> {
            if (reply instanceof MetadataStore.Success<Boolean> answer) {
                markReachable();
                if (answer.value()) {
                    if (!peers.table().anyPresent(gateway.nowMillis())) {
                        readGateways();
                    }
                    schedule(this::keepLeaseAlive, KEEP_ALIVE_MILLIS);
                } else {
                    register();
                }
            } else {
                markUnreachable("lease could not be kept");
                schedule(this::keepLeaseAlive, RETRY_MILLIS * 4);
            }
        }));
    }

    /** Requests that end servers outlast the gateways that found them: all may lose power together. */
    private void readQuarantine() {
        store.listQuarantined(guarded(this::readQuarantine, reply -> {
            if (reply instanceof MetadataStore.Success<List<RequestFingerprint>> answer) {
                markReachable();
                answer.value().forEach(gateway::quarantinedInStore);
            } else {
                schedule(this::readQuarantine, RETRY_MILLIS * 2);
            }
        }));
    }

    private void quarantine(RequestFingerprint request) {
        if (gateway.quarantine().heldMillis(request, gateway.nowMillis()).isEmpty()) {
            return;
        }
        store.quarantine(request, Duration.ofMillis(Quarantine.HOLD_MILLIS), reply -> {
            if (reply instanceof MetadataStore.Success<Long>) {
                markReachable();
            } else {
                schedule(() -> quarantine(request), RETRY_MILLIS * 4);
            }
        });
    }

    private void readGateways() {
        store.listGateways(reply -> {
            if (reply instanceof MetadataStore.Success<List<String>> answer) {
                markReachable();
                peers.addresses(answer.value());
            }
        });
    }

    private void markReachable() {
        if (!storeReachable) {
            storeReachable = true;
            LogLine.of(LogEvent.STORE_BACK).write();
        }
    }

    private void markUnreachable(String reason) {
        gateway.count("store_call_failed");
        if (storeReachable) {
            storeReachable = false;
            LogLine.failure(LogEvent.STORE_LOST).with(LogField.WHY, reason).write();
            peers.reportNow();
        }
    }

    /** Returns what takes a reply of the store; if it throws, its loop goes on with a step after a pause. */
    private <T> Consumer<MetadataStore.Reply<T>> guarded(Runnable step, Consumer<MetadataStore.Reply<T>> handler) {
        return reply -> {
            if (!gateway.runGuarded(() -> handler.accept(reply))) {
                schedule(step, retryMillis());
            }
        };
    }

    /** Runs a step of a loop; if it throws, it is tried again after a pause. */
    private void runGuarded(Runnable task) {
        if (!gateway.runGuarded(task)) {
            schedule(task, retryMillis());
        }
    }

    private void schedule(Runnable task, int millis) {
        gateway.schedule(
                () -> runGuarded(task), millis + ThreadLocalRandom.current().nextInt(millis / 5 + 1));
    }
}
