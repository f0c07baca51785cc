package org.tanagerhinge.node.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.tanagerhinge.core.store.StoreEra;

/** Client of a key-value store that speaks the etcd v3 JSON-over-HTTP protocol. */
public final class EtcdStore implements PlatformStore {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** Header in which a store states its era. */
    private static final String ERA_HEADER = "X-Etcd-Era";

    private final HttpClient client;
    private final String baseUrl;
    private final Duration timeout;
    private final AtomicLong era = new AtomicLong(StoreEra.UNKNOWN);

    private EtcdStore(HttpClient client, String baseUrl, Duration timeout) {
        this.client = client;
        this.baseUrl = baseUrl;
        this.timeout = timeout;
    }

    /** Returns a store at a base URL such as {@code http://127.0.0.1:2379}; the client must be started. */
    public static EtcdStore at(HttpClient client, String baseUrl, Duration timeout) {
        return new EtcdStore(client, baseUrl, timeout);
    }

    @Override
    public Optional<Versioned> read(String key) throws PlatformException {
        ObjectNode request = JSON.createObjectNode().put("key", encode(key));
        return Optional.ofNullable(range(request).get(key));
    }

    @Override
    public Map<String, Versioned> readEach(List<String> keys) throws PlatformException {
        ObjectNode request = JSON.createObjectNode();
        ArrayNode operations = request.putArray("success");
        keys.forEach(key -> operations.addObject().putObject("request_range").put("key", encode(key)));
        Map<String, Versioned> values = new LinkedHashMap<>();
        for (JsonNode response : call("/v3/kv/txn", request).path("responses")) {
            putValues(response.path("response_range"), values);
        }
        return values;
    }

    @Override
    public Map<String, Versioned> readAll(String prefix) throws PlatformException {
        String end = prefix.substring(0, prefix.length() - 1) + (char) (prefix.charAt(prefix.length() - 1) + 1);
        ObjectNode request = JSON.createObjectNode().put("key", encode(prefix)).put("range_end", encode(end));
        return range(request);
    }

    private Map<String, Versioned> range(ObjectNode request) throws PlatformException {
        Map<String, Versioned> values = new LinkedHashMap<>();
        putValues(call("/v3/kv/range", request), values);
        return values;
    }

    private static void putValues(JsonNode range, Map<String, Versioned> values) throws PlatformException {
        for (JsonNode kv : range.path("kvs")) {
            values.put(decode(kv.path("key").asText()), versioned(kv));
        }
    }

    @Override
    public boolean write(String key, String value, long expectedVersion) throws PlatformException {
        return call("/v3/kv/txn", conditionalPut(key, value, expectedVersion))
                .path("succeeded")
                .asBoolean(false);
    }

    @Override
    public Swap swap(String key, String value, long expectedVersion, long leaseId) throws PlatformException {
        ObjectNode request = conditionalPut(key, value, expectedVersion);
        ((ObjectNode) request.path("success").path(0).path("request_put")).put("lease", Long.toString(leaseId));
        request.putArray("failure").addObject().putObject("request_range").put("key", encode(key));
        JsonNode response = call("/v3/kv/txn", request);
        if (response.path("succeeded").asBoolean(false)) {
            return new Swap.Done();
        }
        JsonNode current = response.path("responses")
                .path(0)
                .path("response_range")
                .path("kvs")
                .path(0);
        return new Swap.Differs(current.isMissingNode() ? Optional.empty() : Optional.of(versioned(current)));
    }

    private static ObjectNode conditionalPut(String key, String value, long expectedVersion) {
        ObjectNode request = JSON.createObjectNode();
        ObjectNode compare = request.putArray("compare").addObject();
        compare.put("key", encode(key)).put("result", "EQUAL");
        if (expectedVersion == 0) {
            compare.put("target", "CREATE").put("create_revision", "0");
        } else {
            compare.put("target", "MOD").put("mod_revision", Long.toString(expectedVersion));
        }
        request.putArray("success")
                .addObject()
                .putObject("request_put")
                .put("key", encode(key))
                .put("value", encode(value));
        return request;
    }

    private static Versioned versioned(JsonNode kv) throws PlatformException {
        return new Versioned(
                decode(kv.path("value").asText()), kv.path("mod_revision").asLong());
    }

    @Override
    public long grantLease(Duration duration) throws PlatformException {
        ObjectNode request = JSON.createObjectNode().put("TTL", Long.toString(duration.toSeconds()));
        return call("/v3/lease/grant", request).path("ID").asLong();
    }

    private JsonNode call(String path, ObjectNode request) throws PlatformException {
        try {
            ContentResponse response = client.newRequest(baseUrl + path)
                    .method(HttpMethod.POST)
                    .timeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                    .body(new StringRequestContent("application/json", request.toString()))
                    .send();
            if (response.getStatus() != 200) {
                throw new PlatformException(path, "status " + response.getStatus(), null);
            }
            recordEra(path, response.getHeaders().get(ERA_HEADER));
            return JSON.readTree(response.getContentAsString());
        } catch (TimeoutException | ExecutionException | IOException e) {
            throw new PlatformException(path, e.toString(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new PlatformException(path, "interrupted", e);
        }
    }

    /** Records the era that an answer states, if it does; fails if the store has been restored since. */
    private void recordEra(String path, String stated) throws PlatformException {
        if (stated == null) {
            return;
        }
        try {
            long answered = Long.parseLong(stated.trim());
            if (era.accumulateAndGet(answered, Math::max) > answered) {
                throw new PlatformException(path, "answer of an earlier era of the store", null);
            }
        } catch (NumberFormatException e) {
            throw new PlatformException(path, ERA_HEADER + " is not an integer", e);
        }
    }

    @Override
    public long era() {
        return era.get();
    }

    private static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String decode(String text) throws PlatformException {
        try {
            return new String(Base64.getDecoder().decode(text), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            throw new PlatformException("read entries", "a key or value is not base64 text", e);
        }
    }
}
