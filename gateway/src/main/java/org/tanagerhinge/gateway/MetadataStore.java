package org.tanagerhinge.gateway;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.tanagerhinge.core.attempt.RequestFingerprint;
import org.tanagerhinge.core.relay.RelayConfig;
import org.tanagerhinge.core.relay.ServerRegistration;

/** The calls to the platform's store that a gateway makes; callbacks come on the event loop. */
public interface MetadataStore {
    /** Reads the servers' registrations; fails if a page has no answer within a time in milliseconds. */
    void listServers(long timeoutMillis, Consumer<Reply<ServerListing>> onReply);

    /** Reads the newest configuration; fails if there is no answer within a time in milliseconds. */
    void readConfig(long timeoutMillis, Consumer<Reply<StoredConfig>> onReply);

    /**
     * Waits for a configuration that is newer than a revision of the store.
     *
     * @param waitMillis how long the store may wait for one
     * @param done gets the newest configuration, or one without content if there is none
     */
    void watchConfig(long revision, long waitMillis, Consumer<Reply<StoredConfig>> onReply);

    /** Reads a configuration document. */
    RelayConfig decodeConfig(byte[] document) throws IOException;

    /**
     * Tells the other gateways where this one answers, for as long as a lease is kept.
     *
     * @param address IP:PORT
     * @param done gets the lease
     */
    void registerGateway(String name, String address, Duration leaseTtl, Consumer<Reply<Long>> onReply);

    /** Keeps a lease; {@code done} gets whether it still holds. */
    void keepAlive(long leaseId, Consumer<Reply<Boolean>> onReply);

    /** Reads where the gateways answer each other, IP:PORT each. */
    void listGateways(Consumer<Reply<List<String>>> onReply);

    /** Keeps a request in quarantine for a time, also for gateways that start later. */
    void quarantine(RequestFingerprint request, Duration duration, Consumer<Reply<Long>> onReply);

    /** Reads which requests are in quarantine. */
    void listQuarantined(Consumer<Reply<List<RequestFingerprint>>> onReply);

    /**
     * The servers' registrations as the store holds them.
     *
     * @param unreadable entries that name no server, since another writer left something else there
     */
    record ServerListing(List<ServerRegistration> servers, List<UnreadableEntry> unreadable) {}

    /** A key of the store under which there is no registration, and what is wrong with what stands there. */
    record UnreadableEntry(String key, String reason) {}

    /**
     * A configuration as the store holds it.
     *
     * @param revision the store's revision up to which changes are taken in
     * @param document null if nothing has changed
     */
    record StoredConfig(long revision, byte[] document) {}

    /** What became of a call. */
    sealed interface Reply<T> {
        /** Returns the word for it in metrics. */
        String result();
    }

    /** The call was answered. */
    record Success<T>(T value) implements Reply<T> {
        @Override
        public String result() {
            return "answered";
        }
    }

    /** The store has no history as old as was asked for. */
    record HistoryCompacted<T>() implements Reply<T> {
        @Override
        public String result() {
            return "history_gone";
        }
    }

    /** The call failed; whether it was carried out is not known. */
    record Failure<T>(String reason) implements Reply<T> {
        @Override
        public String result() {
            return "failed";
        }
    }
}
