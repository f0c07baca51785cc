package org.tanagerhinge.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.bench.OddValues;
import org.tanagerhinge.bench.SmallStack;
import org.tanagerhinge.core.relay.RelayConfig;
import org.tanagerhinge.core.relay.Route;
import org.tanagerhinge.core.relay.ServerRegistration;

/** Decodes odd documents of the platform's store: each gives a usable value or fails in the way that is expected. */
class OddDocumentsTest {
    private static final long SEED = 67;
    private static final long DAY_MILLIS = 86_400_000;

    private static Map<String, String> registration() {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("service", "\"plain\"");
        fields.put("address", "\"127.0.0.1:80\"");
        fields.put(PlatformNames.ZONE, "\"north\"");
        fields.put("version", "\"v1\"");
        fields.put("slots", "8");
        fields.put("state", "\"ready\"");
        fields.put(PlatformNames.BORN, "1764717600123");
        return fields;
    }

    /** Guards against an entry that throws an error, uses much memory, or passes for a server that cannot be used. */
    @Test
    void registrationsAreUsableOrRejected() {
        List<byte[]> documents = OddValues.variants(registration(), List.of("address"), SEED);
        int decoded = SmallStack.decodeAll(documents, IOException.class, document -> {
            JsonNode item = new ObjectMapper()
                    .createObjectNode()
                    .put("key", "servers/i-1")
                    .put("value", Base64.getEncoder().encodeToString(document));
            assertUsable(PlatformCodec.decodeRegistration(item));
        });
        assertTrue(decoded > 0 && decoded < documents.size(), decoded + " of " + documents.size());
    }

    private static void assertUsable(ServerRegistration server) {
        assertTrue(server.address().getPort() > 0, () -> "port of " + server);
        assertTrue(!server.address().isUnresolved(), () -> "address of " + server);
        assertTrue(server.slots() > 0, () -> "slots of " + server);
        assertTrue(server.startedAtMillis() >= 0, () -> "start of " + server);
        for (String text : List.of(server.id(), server.service(), server.softwareVersion(), server.domain())) {
            assertTrue(text.chars().noneMatch(Character::isISOControl), () -> "control characters in " + server);
        }
    }

    private static Map<String, String> route() {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("name", "\"a\"");
        fields.put(PlatformNames.HOSTNAME, "\"h\"");
        fields.put("prefix", "\"/a/\"");
        fields.put(PlatformNames.ROUTE_TYPE, "\"safe\"");
        fields.put(PlatformNames.TIMEOUT_MILLIS, "5000");
        fields.put(PlatformNames.TARGET_LATENCY_MILLIS, "600");
        fields.put(PlatformNames.TARGET_GAP_MILLIS, "250");
        fields.put("priority", "1");
        fields.put(PlatformNames.MAX_ATTEMPTS, "2");
        fields.put(
                PlatformNames.TRAFFIC_SPLIT, "[{\"service\":\"x\",\"weight\":90},{\"service\":\"y\",\"weight\":10}]");
        return fields;
    }

    /** Guards against a number of one route that makes times and sums overflow. */
    @Test
    void routesAreUsableOrRejected() {
        List<byte[]> documents = OddValues.variants(route(), List.of(), SEED);
        SmallStack.decodeAll(documents, IOException.class, document -> {
            String route = new String(document, StandardCharsets.ISO_8859_1);
            String config = "{\"version\":3,\"routes\":[" + route
                    + ",{\"hostname\":\"h\",\"prefix\":\"/b/\",\"service\":\"z\"}]}";
            RelayConfig decoded = PlatformCodec.decodeConfig(config.getBytes(StandardCharsets.ISO_8859_1));
            decoded.route("h", "/a/x").ifPresent(OddDocumentsTest::assertUsable);
        });
    }

    private static void assertUsable(Route route) {
        assertTrue(route.timeoutMillis() >= 0 && route.timeoutMillis() <= DAY_MILLIS, () -> "timeout of " + route);
        assertTrue(route.targetMillis() >= 0 && route.targetMillis() <= DAY_MILLIS, () -> "target of " + route);
        assertTrue(route.maxEventGapMillis() >= 0 && route.maxEventGapMillis() <= DAY_MILLIS, () -> "gap of " + route);
        assertTrue(route.attemptLimits().toString().indexOf("=-") < 0, () -> "attempts of " + route);
        assertTrue(!route.weightedServices().isEmpty(), () -> "services of " + route);
        route.weightedServices().forEach(share -> assertTrue(share.weight() >= 0, () -> "weights of " + route));
    }

    private static Map<String, String> config() {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("version", "3");
        fields.put(PlatformNames.ROUTES, "[{\"hostname\":\"h\",\"prefix\":\"/b/\",\"service\":\"z\"}]");
        fields.put("services", "[{\"name\":\"z\",\"maxConnections\":610,\"engine\":{\"slots\":128}}]");
        fields.put("limits", "{\"maxBodyBytes\":1000,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}");
        fields.put(PlatformNames.TENANTS, "[{\"name\":\"coop\",\"apiKeys\":[\"k1\"],\"priority\":3}]");
        return fields;
    }

    /** Guards against a configuration that is none but is applied, or whose version keeps all later ones away. */
    @Test
    void configurationsAreUsableOrRejected() {
        List<byte[]> documents = OddValues.variants(config(), List.of(), SEED);
        SmallStack.decodeAll(documents, IOException.class, document -> {
            RelayConfig decoded = PlatformCodec.decodeConfig(document);
            assertTrue(decoded.version() >= 0 && decoded.version() < 1L << 60, () -> "version " + decoded.version());
            assertTrue(decoded.limits().maxBodyBytes() >= 0, () -> "limits " + decoded.limits());
        });
    }

    private static Map<String, String> limits() {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put(PlatformNames.MAX_HEADER_BYTES, "16384");
        fields.put(PlatformNames.MAX_BODY_BYTES, "1000");
        fields.put(PlatformNames.HEADER_TIMEOUT_MILLIS, "3000");
        fields.put(PlatformNames.IDLE_TIMEOUT_MILLIS, "15000");
        return fields;
    }

    /** Guards against limits of callers that overflow and end all their connections. */
    @Test
    void limitsAreUsableOrRejected() {
        List<byte[]> documents = OddValues.variants(limits(), List.of(), SEED);
        SmallStack.decodeAll(documents, IOException.class, document -> {
            String config = "{\"version\":3,\"limits\":" + new String(document, StandardCharsets.ISO_8859_1) + "}";
            RelayConfig decoded = PlatformCodec.decodeConfig(config.getBytes(StandardCharsets.ISO_8859_1));
            long idleMillis =
                    decoded.limits().headerTimeoutMillis() + decoded.limits().idleTimeoutMillis();
            assertTrue(idleMillis >= 0 && idleMillis <= 2 * DAY_MILLIS, () -> "limits " + decoded.limits());
            assertTrue(decoded.limits().maxBodyBytes() >= 0, () -> "limits " + decoded.limits());
        });
    }
}
