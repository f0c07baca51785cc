package org.tanagerhinge.gateway;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.tanagerhinge.core.attempt.CrashSuspect;
import org.tanagerhinge.core.relay.RelayConfig;
import org.tanagerhinge.core.relay.ServerRegistration;
import org.tanagerhinge.core.store.StorePosition;

/** Defines the calls of a gateway to the platform's store; callbacks run on the event loop. */
public interface MetadataStore {
    /** Lists the registered servers; fails if a page is not answered within a time in milliseconds. */
    void listServers(long timeoutMillis, Consumer<Reply<Listing<ServerRegistration>>> onReply);

    /** Reads the newest configuration; fails if there is no response within a time in milliseconds. */
    void readConfig(long timeoutMillis, Consumer<Reply<StoredConfig>> onReply);

    /**
     * Waits for a configuration that is newer than a position in the store's history. The reply is {@link
     * HistoryCompacted} if that position is not part of the history, also because the store was restored from an older
     * copy.
     *
     * @param waitMillis how long the store may wait, in milliseconds
     * @param onReply receives the newest configuration, or one without a document if nothing changed
     */
    void watchConfig(StorePosition after, long waitMillis, Consumer<Reply<StoredConfig>> onReply);

    /** Decodes a configuration document. */
    RelayConfig decodeConfig(byte[] document) throws IOException;

    /**
     * Registers the address of this gateway for its peers under a new lease.
     *
     * @param address IP:PORT
     * @param onReply receives the lease id
     */
    void registerGateway(String name, String address, Duration leaseTtl, Consumer<Reply<Long>> onReply);

    /** Renews a lease; {@code onReply} receives whether it was still valid. */
    void keepAlive(long leaseId, Consumer<Reply<Boolean>> onReply);

    /** Lists the peer addresses of all gateways, as IP:PORT. */
    void listGateways(Consumer<Reply<Listing<String>>> onReply);

    /**
     * What is quarantined.
     *
     * @param doubtful whether it may be quarantined by mistake, so that a trial may clear it
     */
    record Quarantined(CrashSuspect suspect, boolean doubtful) {}

    /** Stores what is quarantined for a time, also for gateways that start later. */
    void quarantine(Quarantined quarantined, Duration duration, Consumer<Reply<Long>> onReply);

    /** Removes what is not quarantined any more. */
    void endQuarantine(CrashSuspect suspect, Consumer<Reply<Boolean>> onReply);

    /** Lists what is quarantined. */
    void listQuarantined(Consumer<Reply<Listing<Quarantined>>> onReply);

    /** Stores for a time that software versions of services serve. */
    void recordSoftwareVersions(List<ServiceVersion> versions, Duration duration, Consumer<Reply<Long>> onReply);

    /** Lists the software versions that are stored as serving. */
    void listSoftwareVersions(long timeoutMillis, Consumer<Reply<Listing<ServiceVersion>>> onReply);

    /** A software version of a service. */
    record ServiceVersion(String service, String softwareVersion) {}

    /**
     * Holds what the store lists under a prefix.
     *
     * @param position point in the store's history that the first page shows; later pages may show later ones
     * @param entries valid entries
     * @param unreadable the first entries that are not valid, {@link #MAX_UNREADABLE} at most
     * @param unreadableCount number of all entries that are not valid
     */
    record Listing<T>(StorePosition position, List<T> entries, List<UnreadableEntry> unreadable, int unreadableCount) {
        /** Number of invalid entries that are described; other writers may leave any number. */
        public static final int MAX_UNREADABLE = 20;

        /** Returns a listing without invalid entries, from a store that does not tell its position. */
        public static <T> Listing<T> of(List<T> entries) {
            return new Listing<>(StorePosition.NONE, entries, List.of(), 0);
        }
    }

    /** Names a key whose entry is not valid, and the reason. */
    record UnreadableEntry(String key, String reason) {}

    /**
     * Holds a configuration from the store.
     *
     * @param position the point in the store's history up to which changes are included
     * @param document null if nothing has changed
     */
    record StoredConfig(StorePosition position, byte[] document) {}

    /** Represents the outcome of a call. */
    sealed interface Reply<T> {
        /** Returns the label of the outcome in metrics. */
        String result();
    }

    /** Holds the result of a successful call. */
    record Success<T>(T value) implements Reply<T> {
        @Override
        public String result() {
            return "answered";
        }
    }

    /** Reports that the history from the requested position on is not available. */
    record HistoryCompacted<T>() implements Reply<T> {
        @Override
        public String result() {
            return "history_gone";
        }
    }

    /** Reports a failed call; it may or may not have been executed. */
    record Failure<T>(String reason) implements Reply<T> {
        @Override
        public String result() {
            return "failed";
        }
    }
}
