package org.tanagerhinge.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Simulates the platform's key-value service and host list.
 *
 * <p>Implements the part of the etcd v3 JSON-over-HTTP protocol needed for compare-and-swap, leases and watches; a
 * watch is a single long poll. {@code POST /standin/faults} takes {@code down}, {@code slowMillis} and {@code
 * loseAnswers} (the number of writes that take effect without a response). {@code GET /standin/calls} returns the
 * number of calls.
 *
 * <p>Once {@link #stateEra} was called, each answer states the store's era, as a store does that may be restored from an
 * older copy.
 */
public final class PlatformStandin implements AutoCloseable {
    private static final String ERA_HEADER = "X-Etcd-Era";
    private static final int MAX_VALUE_LENGTH = 1 << 20;
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(30);

    /** A value and its revisions. */
    public record Entry(String value, long createRevision, long modRevision, long lease) {}

    /** Content of the store at one time. */
    public record Copy(Map<String, Entry> entries, Map<Long, Instant> leases, long revision, long nextLease) {}

    private record HostState(String state, Instant since) {}

    private final NavigableMap<String, Entry> entries = new TreeMap<>();
    private final Map<Long, Instant> leases = new HashMap<>();
    private final Map<String, HostState> hosts = new TreeMap<>();
    private final AtomicLong calls = new AtomicLong();
    private final StandinServer server;
    private long revision;
    private long nextLease = 1;
    private CompletableFuture<Void> changed = new CompletableFuture<>();
    /** Number of restores so far, plus one; 0 if answers do not state it. */
    private volatile long era;

    private volatile boolean down;
    private volatile long slowMillis;
    private volatile int loseAnswers;
    private volatile Duration hostLag = Duration.ofSeconds(5);

    private PlatformStandin(int port) {
        server = StandinServer.start(port, "platform-standin", this::handle);
    }

    /** Starts the service on a loopback port; 0 selects a free one. */
    public static PlatformStandin start(int port) {
        return new PlatformStandin(port);
    }

    /** Returns the base URL. */
    public String url() {
        return server.url();
    }

    /** Returns the number of calls so far; a pending watch counts as one. */
    public long calls() {
        return calls.get();
    }

    /** Makes every call fail, or serves calls again. */
    public void down(boolean next) {
        down = next;
    }

    /** Delays every call by a duration. */
    public void slow(Duration next) {
        slowMillis = next.toMillis();
    }

    /** Makes the given number of following writes take effect without a response. */
    public void loseAnswers(int writes) {
        loseAnswers = writes;
    }

    /** Makes every answer state the store's era. */
    public void stateEra() {
        era = 1;
    }

    /** Returns a copy of the store's content. */
    public synchronized Copy copy() {
        return new Copy(Map.copyOf(entries), Map.copyOf(leases), revision, nextLease);
    }

    /** Restores the store from a copy: later writes are lost, their revisions are assigned again, and a new era starts. */
    public synchronized void restore(Copy copy) {
        entries.clear();
        entries.putAll(copy.entries());
        leases.clear();
        leases.putAll(copy.leases());
        revision = copy.revision();
        nextLease = copy.nextLease();
        era++;
        notifyWatches();
    }

    private void handle(String method, String path, byte[] body, StandinServer.Exchange exchange) throws IOException {
        if (path.startsWith("/standin/")) {
            control(path, body, exchange);
            return;
        }
        calls.incrementAndGet();
        if (era > 0) {
            exchange.header(ERA_HEADER, Long.toString(era));
        }
        if (down) {
            exchange.abort();
            return;
        }
        if (slowMillis > 0) {
            CompletableFuture.delayedExecutor(slowMillis, TimeUnit.MILLISECONDS)
                    .execute(() -> serveOrAbort(path, body, exchange));
            return;
        }
        serve(path, body, exchange);
    }

    private void serveOrAbort(String path, byte[] body, StandinServer.Exchange exchange) {
        try {
            serve(path, body, exchange);
        } catch (IOException e) {
            exchange.abort();
        }
    }

    private void control(String path, byte[] body, StandinServer.Exchange exchange) throws IOException {
        if (path.equals("/standin/faults")) {
            JsonNode node = StandinServer.parseJson(body);
            down = node.path("down").asBoolean(down);
            slowMillis = node.path("slowMillis").asLong(slowMillis);
            loseAnswers = node.path("loseAnswers").asInt(loseAnswers);
        } else if (path.equals("/standin/hosts")) {
            JsonNode node = StandinServer.parseJson(body);
            synchronized (this) {
                node.properties()
                        .forEach(field -> hosts.put(
                                field.getKey(), new HostState(field.getValue().asText(), Instant.now())));
            }
        }
        exchange.json(200, StandinServer.JSON.createObjectNode().put("calls", calls.get()));
    }

    private void serve(String path, byte[] body, StandinServer.Exchange exchange) throws IOException {
        JsonNode request = body.length == 0 ? StandinServer.JSON.createObjectNode() : StandinServer.parseJson(body);
        switch (path) {
            case "/v3/kv/range" -> exchange.json(200, range(request));
            case "/v3/kv/put" -> answerWrite(exchange, put(request));
            case "/v3/kv/deleterange" -> answerWrite(exchange, delete(request));
            case "/v3/kv/txn" -> {
                if (request.path("success").findValue("request_put") == null) {
                    exchange.json(200, txn(request));
                } else {
                    answerWrite(exchange, txn(request));
                }
            }
            case "/v3/lease/grant" -> exchange.json(200, grant(request));
            case "/v3/lease/keepalive" -> exchange.json(200, keepAlive(request));
            case "/v3/lease/revoke" -> exchange.json(200, revoke(request));
            case "/v3/watch" -> watch(request, exchange);
            case "/hosts" -> exchange.json(200, hostList());
            default -> exchange.text(404, "text/plain", "no such call: " + path);
        }
    }

    private void answerWrite(StandinServer.Exchange exchange, ObjectNode answer) {
        synchronized (this) {
            if (loseAnswers > 0) {
                loseAnswers--;
                exchange.abort();
                return;
            }
        }
        exchange.json(200, answer);
    }

    private synchronized ObjectNode range(JsonNode request) {
        expireLeases();
        ObjectNode answer = header();
        ArrayNode kvs = answer.putArray("kvs");
        String key = decode(request.path("key").asText());
        if (request.has("range_end")) {
            entries.subMap(key, decode(request.path("range_end").asText()))
                    .forEach((each, entry) -> kvs.add(kv(each, entry)));
        } else if (entries.containsKey(key)) {
            kvs.add(kv(key, entries.get(key)));
        }
        answer.put("count", Integer.toString(kvs.size()));
        return answer;
    }

    private static ObjectNode kv(String key, Entry entry) {
        return StandinServer.JSON
                .createObjectNode()
                .put("key", encode(key))
                .put("value", encode(entry.value()))
                .put("create_revision", Long.toString(entry.createRevision()))
                .put("mod_revision", Long.toString(entry.modRevision()))
                .put("lease", Long.toString(entry.lease()));
    }

    private synchronized ObjectNode put(JsonNode request) {
        String key = decode(request.path("key").asText());
        String value = decode(request.path("value").asText());
        if (value.length() > MAX_VALUE_LENGTH) {
            throw new IllegalArgumentException("value over 1 MB");
        }
        revision++;
        Entry before = entries.get(key);
        long created = before == null ? revision : before.createRevision();
        entries.put(
                key, new Entry(value, created, revision, request.path("lease").asLong(0)));
        notifyWatches();
        return header();
    }

    private synchronized ObjectNode delete(JsonNode request) {
        Entry removed = entries.remove(decode(request.path("key").asText()));
        if (removed != null) {
            revision++;
            notifyWatches();
        }
        return header().put("deleted", removed == null ? "0" : "1");
    }

    private synchronized ObjectNode txn(JsonNode request) {
        expireLeases();
        boolean succeeded = true;
        for (JsonNode compare : request.path("compare")) {
            succeeded &= compare(compare);
        }
        ObjectNode answer = header().put("succeeded", succeeded);
        ArrayNode responses = answer.putArray("responses");
        for (JsonNode operation : request.path(succeeded ? "success" : "failure")) {
            JsonNode put = field(operation, "request_put", "requestPut");
            JsonNode range = field(operation, "request_range", "requestRange");
            if (!put.isMissingNode()) {
                responses.addObject().set("response_put", put(put));
            } else if (!range.isMissingNode()) {
                responses.addObject().set("response_range", range(range));
            }
        }
        return answer;
    }

    private static JsonNode field(JsonNode node, String snake, String camel) {
        return node.has(snake) ? node.path(snake) : node.path(camel);
    }

    private boolean compare(JsonNode compare) {
        Entry entry = entries.get(decode(compare.path("key").asText()));
        return switch (compare.path("target").asText()) {
            case "CREATE" ->
                (entry == null ? 0 : entry.createRevision())
                        == compare.path("create_revision").asLong();
            case "MOD" ->
                (entry == null ? 0 : entry.modRevision())
                        == compare.path("mod_revision").asLong();
            default -> throw new IllegalArgumentException("compare target " + compare.path("target"));
        };
    }

    private synchronized ObjectNode grant(JsonNode request) {
        long id = nextLease++;
        leases.put(id, Instant.now().plusSeconds(request.path("TTL").asLong()));
        return header().put("ID", Long.toString(id))
                .put("TTL", request.path("TTL").asText());
    }

    private synchronized ObjectNode keepAlive(JsonNode request) {
        long id = request.path("ID").asLong();
        boolean alive = leases.containsKey(id);
        if (alive) {
            leases.put(id, Instant.now().plusSeconds(request.path("TTL").asLong(5)));
        }
        ObjectNode answer = header();
        answer.putObject("result").put("ID", Long.toString(id)).put("TTL", alive ? "5" : "0");
        return answer;
    }

    private synchronized ObjectNode revoke(JsonNode request) {
        leases.put(request.path("ID").asLong(), Instant.MIN);
        expireLeases();
        return header();
    }

    private void expireLeases() {
        Instant now = Instant.now();
        leases.values().removeIf(until -> until.isBefore(now));
        boolean expired = entries.values().removeIf(entry -> entry.lease() != 0 && !leases.containsKey(entry.lease()));
        if (expired) {
            revision++;
            notifyWatches();
        }
    }

    private void notifyWatches() {
        CompletableFuture<Void> completed = changed;
        changed = new CompletableFuture<>();
        completed.complete(null);
    }

    private synchronized void watch(JsonNode request, StandinServer.Exchange exchange) {
        JsonNode create = field(request, "create_request", "createRequest");
        long since = create.path("start_revision").asLong(revision + 1);
        if (revision >= since) {
            exchange.json(200, header().put("changed", true));
            return;
        }
        changed.orTimeout(WATCH_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .handle((done, late) -> late == null)
                .thenAccept(any -> exchange.json(200, header().put("changed", any)));
    }

    private synchronized ObjectNode hostList() {
        ObjectNode answer = StandinServer.JSON.createObjectNode();
        Instant seen = Instant.now().minus(hostLag);
        hosts.forEach((host, state) -> {
            if (state.since().isBefore(seen)) {
                answer.put(host, state.state());
            }
        });
        return answer;
    }

    private synchronized ObjectNode header() {
        ObjectNode answer = StandinServer.JSON.createObjectNode();
        answer.putObject("header").put("revision", Long.toString(revision));
        return answer;
    }

    private static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String decode(String text) {
        return new String(Base64.getDecoder().decode(text), StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        server.close();
    }
}
