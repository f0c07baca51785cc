package org.tanagerhinge.gateway;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Collectors;
import org.tanagerhinge.core.attempt.CrashSuspect;
import org.tanagerhinge.core.attempt.RequestQuarantine;
import org.tanagerhinge.core.relay.ServerRegistration;
import org.tanagerhinge.core.relay.SoftwareVersions;
import org.tanagerhinge.core.store.StorePosition;
import org.tanagerhinge.node.log.LogEvent;
import org.tanagerhinge.node.log.LogField;
import org.tanagerhinge.node.log.LogLine;

/**
 * Keeps a gateway's configuration and server list up to date with the platform's store.
 *
 * <p>The configuration is watched, since it changes seldom. The servers are polled, since each renews its registration
 * about once a second and a watch would fire for every renewal. Only the gateway that {@link
 * org.tanagerhinge.core.relay.PeerTable} selects as reader makes these calls; the others receive changes from their
 * peers and read the store themselves when their server list is stale.
 */
final class StoreSynchronizer {
    private static final Logger LOG = System.getLogger(StoreSynchronizer.class.getName());
    /** Poll interval of the server list; well below the time within which servers that leave must be noticed. */
    private static final int SERVERS_POLL_MILLIS = 800;
    /**
     * Age, added to the report interval, at which a gateway that is no reader polls the list itself because its peers
     * did not deliver one.
     */
    private static final long STALE_LIST_MILLIS = 1_150;
    /** Maximum wait of a watch, so that a silent connection is detected within the time for configuration changes. */
    private static final long WATCH_WAIT_MILLIS = 1_500;
    /** Delay before the next watch after a change, so that changes in quick succession are applied together. */
    private static final int CHANGE_BATCH_MILLIS = 150;

    /** Timeout of a call: five times what a call takes to a store that is 75 times slower than usual. */
    private static final long TIMEOUT_MILLIS = 1_500;
    /**
     * Timeout before this gateway can serve callers. It is shorter because a store that recovers does not answer calls
     * made during its outage, and callers are refused until a call succeeds. It is three times what a call takes on a
     * host with a quarter of a core that has just started.
     */
    private static final long INITIAL_TIMEOUT_MILLIS = 800;
    /** Delay before a failed call is retried. */
    private static final int RETRY_MILLIS = 250;
    /** Delay before a retry while this gateway cannot serve callers yet. */
    private static final int INITIAL_RETRY_MILLIS = 100;
    /** Minimum time between two catch-up reads; many peer reports may announce the same version. */
    private static final long MIN_CATCH_UP_INTERVAL_MILLIS = 400;
    /** Minimum time between two reads of the server list for resumed streams, which wait for them together. */
    private static final long MIN_STREAM_READ_INTERVAL_MILLIS = 100;
    /** Interval at which a gateway checks whether it must read what it gets from peers or has read already. */
    private static final int STANDBY_CHECK_MILLIS = 200;

    /** Delay after a restore of the store in which all gateways report whether they reach it again. */
    private static final int STORE_QUARANTINE_DELAY_MILLIS = 1_000;

    /** Time for which the store keeps a software version that serves. */
    private static final Duration SOFTWARE_TTL = Duration.ofMillis(3 * SoftwareVersions.RETENTION_MILLIS);

    /** Time for which the store lists a gateway that does not renew its lease. */
    static final Duration LEASE_TTL = Duration.ofSeconds(12);

    private static final long NO_LEASE = -1;
    /** Renewal interval of the lease; a few renewals may fail before it expires. */
    private static final int KEEP_ALIVE_MILLIS = 3_000;

    private final Gateway gateway;
    private final MetadataStore store;
    private final PeerSynchronizer peers;
    /** Point in the store's history up to which this gateway has received changes of the configuration. */
    private StorePosition position = StorePosition.NONE;

    private boolean watching;
    /** Reason of the latest read, for the log. */
    private String readReason = "started";

    private long leaseId = NO_LEASE;
    /** Era of the store in which the lease was granted; in a later one its id may be another node's. */
    private long leaseEra;

    private long nextCatchUpMillis = Long.MIN_VALUE;
    private boolean storeReachable = true;
    /** What waits for a read of the server list that has not begun. */
    private List<Runnable> waitingForServers = new ArrayList<>();

    private long nextStreamReadMillis;
    /** The latest invalid entries by listing. */
    private final Map<String, UnreadableEntries> unreadable = new TreeMap<>();
    /** When this gateway recorded that a software version serves. */
    private final Map<MetadataStore.ServiceVersion, Long> versionRecordedAtMillis = new HashMap<>();

    private final RecurringTask servers;
    private final RecurringTask configuration;
    private final RecurringTask lease;
    private final RecurringTask quarantines;
    private final RecurringTask softwareVersions;

    private StoreSynchronizer(Gateway gateway, MetadataStore store, PeerSynchronizer peers) {
        this.gateway = gateway;
        this.store = store;
        this.peers = peers;
        nextStreamReadMillis = gateway.nowMillis();
        servers = task("servers", this::pollServers);
        configuration = task("configuration", this::watchConfig);
        lease = task("lease", this::keepLeaseAlive);
        quarantines = task("quarantines", this::readQuarantine);
        softwareVersions = task("software_versions", this::readSoftwareVersions);
    }

    private RecurringTask task(String name, Runnable step) {
        return RecurringTask.of(gateway, name, step, () -> spread(retryMillis()));
    }

    /** Returns a delay of up to a fifth more, so that the calls of the gateways do not coincide. */
    private static long spread(int millis) {
        return millis + ThreadLocalRandom.current().nextInt(millis / 5 + 1);
    }

    /** Starts to read the store; returns immediately. */
    static StoreSynchronizer start(Gateway gateway, MetadataStore store, PeerSynchronizer peers) {
        StoreSynchronizer synchronizer = new StoreSynchronizer(gateway, store, peers);
        peers.storeReachable(() -> synchronizer.storeReachable);
        peers.onConfigFetchFailed(() -> synchronizer.catchUp("a peer announced a newer version"));
        gateway.storeEra().onRestored(synchronizer::storeRestored);
        gateway.metrics()
                .registerGauge(
                        "config_watch_revision",
                        "Store revision from which the configuration is watched; NaN if it is not",
                        () -> synchronizer.watching ? synchronizer.position.revision() : Double.NaN);
        gateway.metrics()
                .registerGauge(
                        "entries_unreadable",
                        "Entries of the latest listing in the platform's store that are not valid",
                        "listing",
                        synchronizer::unreadableCounts);
        synchronizer.configuration.run();
        synchronizer.lease.run();
        synchronizer.servers.run();
        synchronizer.softwareVersions.run();
        synchronizer.quarantines.run();
        gateway.streams().connect(synchronizer::readServersFor);
        gateway.crashQuarantine().connectStore(synchronizer.new QuarantineStore());
        return synchronizer;
    }

    private void storeRestored(long era, String source) {
        gateway.count("store_restored");
        gateway.directory().storeRestored(gateway.nowMillis());
        versionRecordedAtMillis.clear();
        gateway.schedule(this::storeQuarantineAgain, spread(STORE_QUARANTINE_DELAY_MILLIS));
        LogLine.of(LogEvent.STORE_RESTORED)
                .with(LogField.ERA, era)
                .with(LogField.WHY, "stated by " + source)
                .write();
    }

    /** Writes the quarantined requests, which the store may have lost, unless another gateway does so as the reader. */
    private void storeQuarantineAgain() {
        if (isReader()) {
            gateway.crashQuarantine().quarantined().forEach(this::quarantine);
        }
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
            catchUp("peers delivered no server list");
        }
        if (stale || reads) {
            readServers();
        } else {
            servers.runAfter(spread(STANDBY_CHECK_MILLIS));
        }
    }

    /**
     * Reads the configuration once, although this gateway is no reader, because its peers do not deliver it. Without
     * this, a new version arrives too late if the store rejects the reader and its successors, which time out one after
     * the other, or if peers announce a version but cannot be queried.
     */
    private void catchUp(String reason) {
        long nowMillis = gateway.nowMillis();
        if (nowMillis < nextCatchUpMillis) {
            return;
        }
        nextCatchUpMillis = nowMillis + MIN_CATCH_UP_INTERVAL_MILLIS;
        store.readConfig(timeoutMillis(), reply -> {
            if (reply instanceof MetadataStore.Success<MetadataStore.StoredConfig> success) {
                markReachable();
                logRead(reason, success.value());
                if (success.value().document() != null) {
                    apply(success.value().document(), ConfigSource.STORE_READ);
                }
            } else {
                recordFailure(reply);
            }
        });
    }

    private void readServers() {
        long requestedAtMillis = gateway.nowMillis();
        store.listServers(timeoutMillis(), servers.onReply(reply -> {
            if (reply instanceof MetadataStore.Success<MetadataStore.Listing<ServerRegistration>> success) {
                applyServers(success.value(), requestedAtMillis);
                boolean empty = gateway.directory().all().isEmpty();
                servers.runAfter(spread(empty ? RETRY_MILLIS : SERVERS_POLL_MILLIS));
                return;
            }
            recordFailure(reply);
            servers.runAfter(spread(retryMillis()));
        }));
    }

    private void applyServers(MetadataStore.Listing<ServerRegistration> listing, long requestedAtMillis) {
        markReachable();
        recordUnreadable(servers.name(), listing);
        boolean firstList = !gateway.directory().hasList();
        if (gateway.apply(listing.entries(), requestedAtMillis, listing.position())) {
            peers.reportNow();
        }
        recordSoftwareVersions();
        if (firstList) {
            softwareVersions.run();
        }
    }

    /** Reads the server list, whether or not this gateway is the reader, for one who can't go by what is known. */
    private void readServersFor(Runnable onRead) {
        waitingForServers.add(onRead);
        if (waitingForServers.size() == 1) {
            long delayMillis = Math.max(0, nextStreamReadMillis - gateway.nowMillis());
            gateway.schedule(this::readServersForStreams, delayMillis);
        }
    }

    private void readServersForStreams() {
        List<Runnable> readers = waitingForServers;
        waitingForServers = new ArrayList<>();
        long requestedAtMillis = gateway.nowMillis();
        nextStreamReadMillis = requestedAtMillis + MIN_STREAM_READ_INTERVAL_MILLIS;
        store.listServers(timeoutMillis(), reply -> {
            if (reply instanceof MetadataStore.Success<MetadataStore.Listing<ServerRegistration>> success) {
                applyServers(success.value(), requestedAtMillis);
                if (!gateway.directory().mayMissServers(requestedAtMillis)) {
                    readers.forEach(gateway::runGuarded);
                }
            } else {
                recordFailure(reply);
            }
        });
    }

    /** Logs each invalid entry of a listing once for as long as it does not change. */
    private void recordUnreadable(String listing, MetadataStore.Listing<?> result) {
        List<MetadataStore.UnreadableEntry> before =
                unreadable.getOrDefault(listing, UnreadableEntries.NONE).logged();
        for (MetadataStore.UnreadableEntry entry : result.unreadable()) {
            if (!before.contains(entry)) {
                gateway.count("entry_unreadable");
                LogLine.failure(LogEvent.ENTRY_UNREADABLE)
                        .with(LogField.KEY, entry.key())
                        .with(LogField.WHY, entry.reason())
                        .write();
            }
        }
        unreadable.put(listing, new UnreadableEntries(result.unreadable(), result.unreadableCount()));
    }

    /** Invalid entries of a listing: those that are in the log, and the number of all. */
    private record UnreadableEntries(List<MetadataStore.UnreadableEntry> logged, int count) {
        static final UnreadableEntries NONE = new UnreadableEntries(List.of(), 0);
    }

    private Map<String, Double> unreadableCounts() {
        return unreadable.entrySet().stream().collect(Collectors.toMap(Map.Entry::getKey, entry ->
                (double) entry.getValue().count()));
    }

    private void logRead(String reason, MetadataStore.StoredConfig stored) {
        LogLine.of(LogEvent.CONFIG_READ)
                .with(LogField.WHY, reason)
                .with(LogField.ERA, stored.position().era())
                .with(LogField.REVISION, stored.position().revision())
                .write();
    }

    private void watchConfig() {
        if (gateway.config().isPresent() && !isReader()) {
            watching = false;
            readReason = "became the reader";
            configuration.runAfter(spread(STANDBY_CHECK_MILLIS));
        } else if (watching) {
            store.watchConfig(
                    position,
                    WATCH_WAIT_MILLIS,
                    configuration.onReply(reply -> handleConfig(reply, ConfigSource.STORE_WATCH)));
        } else {
            readConfig();
        }
    }

    private void readConfig() {
        store.readConfig(timeoutMillis(), configuration.onReply(reply -> handleConfig(reply, ConfigSource.STORE_READ)));
    }

    private void handleConfig(MetadataStore.Reply<MetadataStore.StoredConfig> reply, ConfigSource source) {
        if (reply instanceof MetadataStore.Success<MetadataStore.StoredConfig> success) {
            markReachable();
            MetadataStore.StoredConfig stored = success.value();
            position = stored.position();
            watching = gateway.config().isPresent() || stored.document() != null;
            if (source == ConfigSource.STORE_READ) {
                logRead(readReason, stored);
                logWatch();
            }
            if (stored.document() == null) {
                configuration.runAfter(watching ? 1 : spread(RETRY_MILLIS));
            } else {
                apply(stored.document(), source);
                configuration.runAfter(spread(CHANGE_BATCH_MILLIS));
            }
            return;
        }
        watching = false;
        readReason = reply instanceof MetadataStore.Failure<?> failure
                ? "call failed: " + failure.reason()
                : "the store's history does not have " + position;
        if (recordFailure(reply)) {
            configuration.runAfter(spread(retryMillis()));
        } else {
            configuration.run();
        }
    }

    private void logWatch() {
        if (watching) {
            LogLine.of(LogEvent.CONFIG_WATCH)
                    .with(LogField.ERA, position.era())
                    .with(LogField.REVISION, position.revision())
                    .write();
        }
    }

    /**
     * Records a failed call and returns true; returns false for compacted history. Uses instanceof because a pattern
     * switch costs a restarted gateway 10 ms before its first server list.
     */
    private boolean recordFailure(MetadataStore.Reply<?> reply) {
        if (reply instanceof MetadataStore.Failure<?> failure) {
            markUnreachable(failure.reason());
            return true;
        }
        return false;
    }

    private void apply(byte[] document, ConfigSource source) {
        try {
            if (gateway.apply(store.decodeConfig(document), document, source)) {
                peers.reportNow();
            }
        } catch (IOException e) {
            LOG.log(
                    Level.ERROR,
                    "cannot decode the configuration from the store; keeping the active one: " + e.getMessage());
        }
    }

    private void register() {
        long sentAtMillis = gateway.nowMillis();
        store.registerGateway(gateway.options().name(), peers.address(), LEASE_TTL, lease.onReply(reply -> {
            if (reply instanceof MetadataStore.Success<Long> success) {
                markReachable();
                leaseId = success.value();
                leaseEra = gateway.storeEra().current();
                gateway.fleetSize().leaseRenewed(sentAtMillis);
                lease.runAfter(spread(KEEP_ALIVE_MILLIS));
                readGateways();
            } else {
                markUnreachable("could not register this gateway");
                lease.runAfter(spread(RETRY_MILLIS * 2));
            }
        }));
    }

    private void keepLeaseAlive() {
        if (leaseId == NO_LEASE || leaseEra != gateway.storeEra().current()) {
            register();
            return;
        }
        long sentAtMillis = gateway.nowMillis();
        store.keepAlive(leaseId, lease.onReply(reply -> {
            if (reply instanceof MetadataStore.Success<Boolean> success) {
                markReachable();
                if (success.value() && leaseEra == gateway.storeEra().current()) {
                    long nowMillis = gateway.nowMillis();
                    gateway.fleetSize().leaseRenewed(sentAtMillis);
                    lease.runAfter(spread(KEEP_ALIVE_MILLIS));
                    if (!peers.table().anyPresent(nowMillis)
                            || gateway.fleetSize().listingDue(nowMillis)) {
                        readGateways();
                    }
                } else {
                    leaseId = NO_LEASE;
                    register();
                }
            } else {
                markUnreachable("could not renew the lease");
                lease.runAfter(spread(RETRY_MILLIS * 4));
            }
        }));
    }

    /** Reads the quarantined requests from the store, where they survive a simultaneous loss of all gateways. */
    private void readQuarantine() {
        store.listQuarantined(quarantines.onReply(reply -> {
            if (reply instanceof MetadataStore.Success<MetadataStore.Listing<MetadataStore.Quarantined>> success) {
                markReachable();
                recordUnreadable(quarantines.name(), success.value());
                gateway.crashQuarantine().quarantinedInStore(success.value().entries());
                quarantines.finish();
            } else {
                quarantines.runAfter(spread(RETRY_MILLIS * 2));
            }
        }));
    }

    /**
     * Reads which software versions have served lately. Without it, after a simultaneous loss of all
     * gateways, a stream of a version that has left would be taken for one of the version that serves.
     */
    private void readSoftwareVersions() {
        if (!gateway.directory().hasList()) {
            // A version that served between this listing and the first list of servers would be missed.
            softwareVersions.runAfter(spread(retryMillis()));
            return;
        }
        if (gateway.directory().versionHistory().complete(gateway.nowMillis())) {
            softwareVersions.runAfter(spread(STANDBY_CHECK_MILLIS));
            return;
        }
        store.listSoftwareVersions(timeoutMillis(), softwareVersions.onReply(reply -> {
            if (reply instanceof MetadataStore.Success<MetadataStore.Listing<MetadataStore.ServiceVersion>> success) {
                markReachable();
                recordUnreadable(softwareVersions.name(), success.value());
                gateway.softwareVersionHistory(success.value().entries().stream()
                        .map(version -> new SoftwareVersions.Departed(version.service(), version.softwareVersion(), 0))
                        .toList());
                softwareVersions.runAfter(spread(STANDBY_CHECK_MILLIS));
            } else {
                softwareVersions.runAfter(spread(retryMillis()));
            }
        }));
    }

    /**
     * Records the software versions of all services, if this gateway is the reader. The only version of a service is
     * recorded too, since it may be replaced while no gateway runs.
     */
    private void recordSoftwareVersions() {
        if (!isReader()) {
            return;
        }
        long nowMillis = gateway.nowMillis();
        versionRecordedAtMillis
                .values()
                .removeIf(
                        atMillis -> nowMillis - atMillis > SOFTWARE_TTL.toMillis() - SoftwareVersions.RETENTION_MILLIS);
        List<MetadataStore.ServiceVersion> unrecorded = new ArrayList<>();
        for (String service : gateway.directory().services()) {
            for (String softwareVersion : gateway.directory().softwareVersions(service, nowMillis)) {
                MetadataStore.ServiceVersion version = new MetadataStore.ServiceVersion(service, softwareVersion);
                if (!softwareVersion.isEmpty() && versionRecordedAtMillis.putIfAbsent(version, nowMillis) == null) {
                    unrecorded.add(version);
                }
            }
        }
        if (!unrecorded.isEmpty()) {
            store.recordSoftwareVersions(unrecorded, SOFTWARE_TTL, reply -> {
                if (!(reply instanceof MetadataStore.Success<Long>)) {
                    unrecorded.forEach(versionRecordedAtMillis::remove);
                }
            });
        }
    }

    private void quarantine(CrashSuspect suspect) {
        if (!gateway.crashQuarantine().quarantines(suspect)) {
            return;
        }
        MetadataStore.Quarantined quarantined =
                new MetadataStore.Quarantined(suspect, gateway.crashQuarantine().isDoubtful(suspect));
        store.quarantine(quarantined, Duration.ofMillis(RequestQuarantine.QUARANTINE_MILLIS), reply -> {
            if (reply instanceof MetadataStore.Success<Long>) {
                markReachable();
            } else {
                gateway.schedule(() -> quarantine(suspect), spread(RETRY_MILLIS * 4));
            }
        });
    }

    private void endQuarantine(CrashSuspect suspect) {
        if (gateway.crashQuarantine().quarantines(suspect)) {
            return;
        }
        store.endQuarantine(suspect, reply -> {
            if (reply instanceof MetadataStore.Success<Boolean>) {
                markReachable();
            } else {
                gateway.schedule(() -> endQuarantine(suspect), spread(RETRY_MILLIS * 4));
            }
        });
    }

    /** Stores what is quarantined, for gateways that start later. */
    private final class QuarantineStore implements CrashQuarantine.StoreListener {
        @Override
        public void quarantined(CrashSuspect suspect, boolean seenHere) {
            // Gateways may learn of all crashes from each other, so that none has seen the decisive one itself.
            if (seenHere || isReader()) {
                quarantine(suspect);
            }
        }

        @Override
        public int trialTurn() {
            return peers.table().storeReaderRank(storeReachable, gateway.nowMillis());
        }

        @Override
        public void released(CrashSuspect suspect, boolean seenHere) {
            if (seenHere || isReader()) {
                endQuarantine(suspect);
            }
        }
    }

    private void readGateways() {
        store.listGateways(reply -> {
            if (reply instanceof MetadataStore.Success<MetadataStore.Listing<String>> success) {
                markReachable();
                recordUnreadable("gateways", success.value());
                gateway.fleetSize().listed(Set.copyOf(success.value().entries()), gateway.nowMillis());
                peers.addresses(success.value().entries());
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
}
