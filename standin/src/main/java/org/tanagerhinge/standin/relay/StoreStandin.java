package org.tanagerhinge.standin.relay;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.tanagerhinge.platform.PlatformNames;

/** Simulates the platform's store with revisions, conditional writes, watches, leases and injected faults. */
public final class StoreStandin implements AutoCloseable {
    /** How calls are answered. */
    public enum FaultMode {
        /** Calls are served. */
        SERVES,
        /** Calls are rejected with status 503 and have no effect. */
        BUSY,
        /** Connections are reset. */
        RESETS,
        /** Calls are never answered. */
        SILENT,
        /** Calls take effect, but are never answered. */
        LOSES_ANSWERS
    }

    /** How calls that wait while the store is restored are answered. */
    public enum WaitingCalls {
        /** Their connections are reset. */
        RESET,
        /** They are answered from the restored data. */
        CONTINUE
    }

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int PAGE_SIZE = 50;
    private static final int MAX_TRANSACTION_ENTRIES = 32;
    private static final int MAX_KEY_BYTES = 200;

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Map<Long, Long> leases = new HashMap<>();
    private final Map<Long, Long> leaseMillis = new HashMap<>();
    private final Map<String, Integer> calls = new TreeMap<>();
    private final Map<String, Integer> unansweredCalls = new TreeMap<>();
    private Set<Socket> silenced = Set.of();
    private long era = 1;
    private boolean statesEra = true;
    private WaitingCalls callsOfEarlierEras = WaitingCalls.RESET;
    private long revision;
    private long compactedRevision;
    private long lastWatchedRevision;
    private String awaitedPath = "";
    private Runnable onAwaitedCall = () -> {};
    private long nextLease = 100;
    private FaultMode faultMode = FaultMode.SERVES;
    private UnaryOperator<String> responseChange = UnaryOperator.identity();
    private FaultMode sideFaultMode = FaultMode.SERVES;
    private final RawServer server;
    private RawServer sideServer;

    private record Item(String value, long revision, long created, long lease) {}

    private record Change(String key, Item item, long revision) {}

    /** Holds a copy of the store's data, from which {@link #restore} continues. */
    public static final class Snapshot {
        private final TreeMap<String, Item> items;
        private final List<Change> history;
        private final Map<Long, Long> leases;
        private final long revision;
        private final long lastLease;

        private Snapshot(
                TreeMap<String, Item> items,
                List<Change> history,
                Map<Long, Long> leases,
                long revision,
                long lastLease) {
            this.items = items;
            this.history = history;
            this.leases = leases;
            this.revision = revision;
            this.lastLease = lastLease;
        }
    }

    private StoreStandin(int port) {
        server = RawServer.start(port, (request, connection) -> handle(request, connection, () -> faultMode));
    }

    /** Starts a store on a port; 0 selects a free one. */
    public static StoreStandin start(int port) {
        return new StoreStandin(port);
    }

    public InetSocketAddress address() {
        return server.address();
    }

    /** Sets how following calls are answered. */
    public synchronized void faultMode(FaultMode newMode) {
        faultMode = newMode;
        notifyAll();
    }

    /** Returns a second address of the store with its own fault mode, for faults that affect some hosts only. */
    public synchronized InetSocketAddress sideAddress() {
        if (sideServer == null) {
            sideServer = RawServer.start(0, (request, connection) -> handle(request, connection, () -> sideFaultMode));
        }
        return sideServer.address();
    }

    /** Sets how following calls to the second address are answered. */
    public synchronized void sideFaultMode(FaultMode newMode) {
        sideFaultMode = newMode;
        notifyAll();
    }

    /** Stops answering on the currently open connections; new connections are served. */
    public synchronized void silenceOpenConnections() {
        silenced = server.openConnections();
    }

    /** Returns the number of calls to a path on silenced connections. */
    public synchronized int unansweredCalls(String path) {
        return unansweredCalls.getOrDefault(path, 0);
    }

    /** Writes a text under a key and returns the new revision. */
    public synchronized long put(String key, String text) {
        write(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
        return revision;
    }

    /** Writes bytes under a key and returns the new revision. */
    public synchronized long put(String key, byte[] value) {
        write(key, Base64.getEncoder().encodeToString(value), 0);
        notifyAll();
        return revision;
    }

    /** Changes the bodies of following responses before they are sent. */
    public synchronized void alterResponses(UnaryOperator<String> change) {
        responseChange = change;
    }

    /** Removes a key. */
    public synchronized void remove(String key) {
        removeKey(key);
        notifyAll();
    }

    /** Discards the history; watches from an earlier revision are answered with status 410. */
    public synchronized void compact() {
        compactedRevision = revision;
        history.clear();
        notifyAll();
    }

    /** Sets whether responses state the era. */
    public synchronized void statesEra(boolean states) {
        statesEra = states;
    }

    /** Returns a copy of the store's data. */
    public synchronized Snapshot snapshot() {
        expireLeases();
        return new Snapshot(new TreeMap<>(items), new ArrayList<>(history), new HashMap<>(leases), revision, nextLease);
    }

    /**
     * Continues from an earlier copy, in the next era: later writes and leases are lost, and their revisions and ids
     * are given out again.
     *
     * @param waitingCalls how calls that arrived before are answered
     * @return the lost values of the operator and the servers, by key, for {@link #putAll}
     */
    public synchronized Map<String, String> restore(Snapshot copy, WaitingCalls waitingCalls) {
        Map<String, String> lost = new TreeMap<>();
        items.forEach((key, item) -> {
            if (item.lease() == 0 && !item.equals(copy.items.get(key)) && writtenByPlatform(key)) {
                lost.put(key, new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8));
            }
        });
        items.clear();
        items.putAll(copy.items);
        history.clear();
        history.addAll(copy.history);
        leases.clear();
        leases.putAll(copy.leases);
        revision = copy.revision;
        nextLease = copy.lastLease;
        compactedRevision = Math.min(compactedRevision, revision);
        era++;
        callsOfEarlierEras = waitingCalls;
        notifyAll();
        return lost;
    }

    private static boolean writtenByPlatform(String key) {
        return key.startsWith("op/") || key.startsWith(PlatformNames.SERVERS_PREFIX);
    }

    /** Writes texts under their keys. */
    public synchronized void putAll(Map<String, String> texts) {
        texts.forEach(this::put);
    }

    /** Grants a lease for a time in milliseconds and returns its id. */
    public synchronized long grantLease(long ttlMillis) {
        leases.put(++nextLease, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ttlMillis));
        leaseMillis.put(nextLease, ttlMillis);
        return nextLease;
    }

    /** Returns the store's revision. */
    public synchronized long revision() {
        return revision;
    }

    /** Returns the revision from which the latest watch continued. */
    public synchronized long lastWatchedRevision() {
        return lastWatchedRevision;
    }

    /** Runs an action once, after the next call to a path has taken effect and before any other call does. */
    public synchronized void afterNextCall(String path, Runnable action) {
        awaitedPath = path;
        onAwaitedCall = action;
    }

    /** Returns the keys with a prefix. */
    public synchronized List<String> keys(String prefix) {
        expireLeases();
        return items.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    /** Returns the number of calls to paths with the given prefix. */
    public synchronized int calls(String path) {
        return calls.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(path))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    private void write(String key, String value, long lease) {
        revision++;
        Item old = items.get(key);
        Item item = new Item(value, revision, old == null ? revision : old.created(), lease);
        items.put(key, item);
        history.add(new Change(key, item, revision));
    }

    private void removeKey(String key) {
        if (items.remove(key) != null) {
            revision++;
            history.add(new Change(key, null, revision));
        }
    }

    private void expireLeases() {
        long now = System.nanoTime();
        List<Long> ended = leases.entrySet().stream()
                .filter(lease -> lease.getValue() - now < 0)
                .map(Map.Entry::getKey)
                .toList();
        for (long lease : ended) {
            leases.remove(lease);
            items.entrySet().stream()
                    .filter(item -> item.getValue().lease() == lease)
                    .map(Map.Entry::getKey)
                    .toList()
                    .forEach(this::removeKey);
        }
    }

    private void handle(RawServer.Request request, RawServer.Connection connection, Supplier<FaultMode> currentMode)
            throws IOException, InterruptedException {
        Reply reply;
        FaultMode mode;
        String eraHeader;
        synchronized (this) {
            long receivedInEra = era;
            calls.merge(request.path(), 1, Integer::sum);
            if (silenced.contains(connection.socket())) {
                unansweredCalls.merge(request.path(), 1, Integer::sum);
            }
            mode = currentMode.get();
            reply = mode == FaultMode.SERVES || mode == FaultMode.LOSES_ANSWERS ? serve(request) : new Reply(503, "{}");
            mode = currentMode.get() == FaultMode.SERVES ? mode : currentMode.get();
            mode = silenced.contains(connection.socket()) ? FaultMode.SILENT : mode;
            boolean reset = era != receivedInEra && callsOfEarlierEras == WaitingCalls.RESET;
            mode = reset ? FaultMode.RESETS : mode;
            eraHeader = statesEra ? PlatformNames.STORE_ERA + ": " + era + "\r\n" : "";
            reply = new Reply(reply.status(), responseChange.apply(reply.body()));
            if (request.path().equals(awaitedPath)) {
                awaitedPath = "";
                onAwaitedCall.run();
            }
        }
        switch (mode) {
            case SERVES, BUSY ->
                connection.answer(reply.status(), "Content-Type: application/json\r\n" + eraHeader, reply.body());
            case RESETS -> connection.reset();
            case SILENT, LOSES_ANSWERS -> Thread.sleep(TimeUnit.HOURS.toMillis(1));
        }
    }

    private record Reply(int status, String body) {}

    private Reply serve(RawServer.Request request) throws IOException, InterruptedException {
        expireLeases();
        String path = request.path();
        if (path.startsWith(PlatformNames.LEASE_REVOCATION_PATH)) {
            leases.put(
                    Long.parseLong(path.substring(PlatformNames.LEASE_REVOCATION_PATH.length())),
                    System.nanoTime() - 1);
            expireLeases();
            return new Reply(200, "{}");
        }
        if (path.startsWith(PlatformNames.LEASE_RENEWAL_PATH)) {
            return renewLease(Long.parseLong(path.substring(PlatformNames.LEASE_RENEWAL_PATH.length())));
        }
        return switch (path) {
            case PlatformNames.KEY_PATH -> key(request.parameter("key"));
            case PlatformNames.RANGE_PATH -> range(request.parameter("prefix"), request.parameter("after"));
            case PlatformNames.WATCH_PATH -> watch(request);
            case PlatformNames.TRANSACTION_PATH -> write(JSON.readTree(request.body()));
            case PlatformNames.LEASE_GRANT_PATH -> lease(JSON.readTree(request.body()));
            default -> new Reply(404, "{}");
        };
    }

    private Reply key(String key) {
        Item item = items.get(key);
        ObjectNode body = item == null ? JSON.createObjectNode() : node(key, item);
        return new Reply(
                item == null ? 404 : 200,
                body.put(PlatformNames.STORE_REVISION, revision).toString());
    }

    private Reply range(String prefix, String after) {
        ObjectNode body = JSON.createObjectNode();
        ArrayNode list = body.putArray("items");
        boolean truncated = false;
        for (Map.Entry<String, Item> entry : items.entrySet()) {
            if (!entry.getKey().startsWith(prefix) || entry.getKey().compareTo(after) <= 0) {
                continue;
            }
            if (list.size() == PAGE_SIZE) {
                truncated = true;
                break;
            }
            list.add(node(entry.getKey(), entry.getValue()));
        }
        body.put(PlatformNames.TRUNCATED, truncated).put(PlatformNames.STORE_REVISION, revision);
        return new Reply(200, body.toString());
    }

    private Reply watch(RawServer.Request request) throws InterruptedException {
        long after = Long.parseLong(request.parameter("after"));
        lastWatchedRevision = after;
        long deadlineNanos = System.nanoTime()
                + TimeUnit.MILLISECONDS.toNanos(Long.parseLong(request.parameter(PlatformNames.WAIT_MILLIS)));
        FaultMode initialMode = faultMode;
        long initialEra = era;
        while (faultMode == initialMode && (era == initialEra || callsOfEarlierEras == WaitingCalls.CONTINUE)) {
            if (after < compactedRevision || after > revision) {
                return new Reply(410, "{}");
            }
            ObjectNode body = JSON.createObjectNode();
            ArrayNode events = body.putArray(PlatformNames.EVENTS);
            for (Change change : history) {
                if (change.revision() > after && change.key().startsWith(request.parameter("prefix"))) {
                    events.add(change.item() == null ? tombstone(change) : node(change.key(), change.item()));
                }
            }
            long remainingNanos = deadlineNanos - System.nanoTime();
            if (!events.isEmpty() || remainingNanos <= 0) {
                return new Reply(
                        200, body.put(PlatformNames.STORE_REVISION, revision).toString());
            }
            TimeUnit.NANOSECONDS.timedWait(this, remainingNanos);
        }
        return new Reply(503, "{}");
    }

    private Reply write(JsonNode call) {
        if (invalid(call)) {
            return new Reply(400, "{}");
        }
        ObjectNode conflict = JSON.createObjectNode();
        ArrayNode current = conflict.putArray("items");
        boolean matches = true;
        for (JsonNode row : call.path(PlatformNames.EXPECTED_REVISIONS)) {
            Item item = items.get(row.path("key").asText());
            matches &= row.path("revision").asLong() == (item == null ? 0 : item.revision());
            if (item != null) {
                current.add(node(row.path("key").asText(), item));
            }
        }
        if (!matches) {
            return new Reply(412, conflict.toString());
        }
        for (JsonNode put : call.path(PlatformNames.PUTS)) {
            long lease = put.path("lease").asLong(0);
            if (lease != 0 && !leases.containsKey(lease)) {
                return new Reply(404, "{}");
            }
        }
        for (JsonNode put : call.path(PlatformNames.PUTS)) {
            write(
                    put.path("key").asText(),
                    put.path("value").asText(),
                    put.path("lease").asLong(0));
        }
        call.path(PlatformNames.REMOVALS).forEach(key -> removeKey(key.asText()));
        notifyAll();
        return new Reply(200, JSON.createObjectNode().put("revision", revision).toString());
    }

    private static boolean invalid(JsonNode call) {
        int entries = call.path(PlatformNames.EXPECTED_REVISIONS).size()
                + call.path(PlatformNames.PUTS).size()
                + call.path(PlatformNames.REMOVALS).size();
        boolean keyTooLong = false;
        for (JsonNode put : call.path(PlatformNames.PUTS)) {
            keyTooLong |= put.path("key").asText().getBytes(StandardCharsets.UTF_8).length > MAX_KEY_BYTES;
        }
        return entries > MAX_TRANSACTION_ENTRIES || keyTooLong;
    }

    private Reply lease(JsonNode call) {
        long ttl = call.path(PlatformNames.TTL_MILLIS).asLong();
        ObjectNode body = JSON.createObjectNode().put("lease", grantLease(ttl)).put(PlatformNames.TTL_MILLIS, ttl);
        return new Reply(200, body.toString());
    }

    private Reply renewLease(long lease) {
        if (!leases.containsKey(lease)) {
            return new Reply(404, "{}");
        }
        leases.put(lease, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(leaseMillis.get(lease)));
        return new Reply(200, "{}");
    }

    private static ObjectNode node(String key, Item item) {
        return JSON.createObjectNode()
                .put("key", key)
                .put("value", item.value())
                .put("revision", item.revision())
                .put(PlatformNames.CREATED_REVISION, item.created())
                .put("lease", item.lease());
    }

    private static ObjectNode tombstone(Change change) {
        return JSON.createObjectNode()
                .put("key", change.key())
                .put("revision", change.revision())
                .put(PlatformNames.TOMBSTONE, true);
    }

    @Override
    public void close() {
        server.close();
        if (sideServer != null) {
            sideServer.close();
        }
    }
}
