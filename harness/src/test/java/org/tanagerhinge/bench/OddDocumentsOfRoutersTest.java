package org.tanagerhinge.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.core.claim.ClaimDecision;
import org.tanagerhinge.core.config.BackendServer;
import org.tanagerhinge.core.config.ConfigJson;
import org.tanagerhinge.core.config.InvalidConfigException;
import org.tanagerhinge.core.config.ServersDocument;
import org.tanagerhinge.core.id.KeyDigest;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.message.ClaimEntry;
import org.tanagerhinge.core.net.SocketAddresses;
import org.tanagerhinge.node.platform.ClaimStore;
import org.tanagerhinge.node.platform.PlatformException;
import org.tanagerhinge.node.platform.PlatformStore;

/** Decodes odd documents in the store of routers and agents: each costs its own entry at most. */
class OddDocumentsOfRoutersTest {
    private static final long SEED = 67;
    private static final String GOOD_SERVER =
            "{\"id\":\"good\",\"agentAddress\":\"127.0.0.1:7701\",\"failureDomain\":\"kita\",\"targets\":[\"m\"]}";
    private static final KeyDigest KEY = new KeyDigest("0123456789abcdef0123456789abcdef");

    private static Map<String, String> server() {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("id", "\"e-1\"");
        fields.put("agentAddress", "\"127.0.0.1:7700\"");
        fields.put("failureDomain", "\"kita\"");
        fields.put("kind", "\"model\"");
        fields.put("targets", "[\"m\"]");
        fields.put("mark", "\"serving\"");
        return fields;
    }

    private static String document(String server) {
        return "{\"revision\":3,\"servers\":[" + server + "," + GOOD_SERVER + "]}";
    }

    private static boolean isJson(String text) {
        try {
            new ObjectMapper().readTree(text);
            return true;
        } catch (JsonProcessingException e) {
            return false;
        }
    }

    /** Guards against one server whose entry keeps all others from being read, or whose address cannot be used. */
    @Test
    void serverCostsNoOtherServer() {
        List<byte[]> servers = OddValues.variants(server(), List.of("agentAddress"), SEED);
        int decoded = SmallStack.decodeAll(servers, InvalidConfigException.class, odd -> {
            String text = document(new String(odd, StandardCharsets.UTF_8));
            ServersDocument read = readServers(text);
            assertTrue(read.server(ServerId.of("good")).isPresent() || !isJson(text), text);
            for (BackendServer each : read.servers()) {
                assertTrue(SocketAddresses.parse(each.agentAddress()).isPresent(), each.agentAddress());
            }
        });
        assertTrue(decoded > servers.size() / 2, decoded + " of " + servers.size());
    }

    private static ServersDocument readServers(String text) throws InvalidConfigException {
        try {
            return ConfigJson.readServers(text, problem -> {});
        } catch (InvalidConfigException e) {
            assertTrue(!isJson(text), () -> "well-formed, but rejected: " + e.getMessage());
            throw e;
        }
    }

    /** Guards against documents of any other kind that throw errors or use much memory. */
    @Test
    void documentsAreReadOrRejected() {
        Map<String, String> profiles = new LinkedHashMap<>();
        profiles.put("revision", "3");
        profiles.put("changes", "[\"a\"]");
        profiles.put("profiles", "[{\"name\":\"card\",\"tier\":1,\"deadlineMillis\":9000,\"sharePercent\":30}]");
        profiles.put("workspaces", "[{\"name\":\"umea\",\"weight\":2}]");
        SmallStack.decodeAll(
                OddValues.variants(profiles, List.of(), SEED),
                InvalidConfigException.class,
                text -> ConfigJson.parseProfiles(new String(text, StandardCharsets.UTF_8)));
        Map<String, String> servers = new LinkedHashMap<>();
        servers.put("revision", "3");
        servers.put("changes", "[\"a\"]");
        servers.put("servers", "[" + GOOD_SERVER + "]");
        SmallStack.decodeAll(OddValues.variants(servers, List.of(), SEED), InvalidConfigException.class, text -> {
            ServersDocument read = ConfigJson.readServers(new String(text, StandardCharsets.UTF_8), problem -> {});
            assertTrue(read.revision() >= 0 && read.revision() + 1 > read.revision());
        });
    }

    private static Map<String, String> claim() {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("digest", "\"" + KEY.hex() + "\"");
        fields.put("body", "\"body\"");
        fields.put("executor", "\"e-1\"");
        fields.put("executorIncarnation", "1");
        fields.put("generation", "3");
        fields.put("owner", "\"r-1\"");
        fields.put("free", "true");
        return fields;
    }

    private static ClaimEntry request(String id) {
        return ClaimEntry.requested(KEY, "body", ServerId.of("e-2"), 1, RequestId.of(id));
    }

    /** Guards against a claim that throws, or whose generation has no successor. */
    @Test
    void claimsAreFollowedOrUnsettled() {
        SmallStack.decodeAll(OddValues.variants(claim(), List.of(), SEED), IllegalStateException.class, odd -> {
            Values values = new Values();
            values.put(new String(odd, StandardCharsets.UTF_8));
            ClaimDecision decision = ClaimStore.in(values, () -> Instant.EPOCH).claim(request("r-2"), 0);
            if (decision instanceof ClaimDecision.Granted granted) {
                assertTrue(granted.claim().entry().generation() > 0, () -> "granted " + granted);
            }
        });
    }

    /** Guards against a restore after which no key is served because what stands for one claim is none. */
    @Test
    void claimsAreSettledBesideOneThatCannotBeRead() throws PlatformException {
        Values values = new Values();
        Instant[] now = {Instant.EPOCH};
        ClaimStore store = ClaimStore.in(values, () -> now[0]);
        settle(store, now);
        ClaimDecision granted = store.claim(request("r-2"), 0);
        ClaimEntry entry =
                assertInstanceOf(ClaimDecision.Granted.class, granted).claim().entry();
        values.era++;
        values.put("[".repeat(5_000));
        settle(store, now);
        assertEquals(new ClaimDecision.HeldByOther(entry), store.claim(request("r-3"), 0));
    }

    private static void settle(ClaimStore store, Instant[] now) {
        for (int i = 0; i < 12; i++) {
            try {
                store.recover();
            } catch (PlatformException e) {
                // A router logs this and tries again.
            }
            now[0] = now[0].plusSeconds(1);
        }
    }

    /** Store of claims in memory. */
    private static final class Values implements PlatformStore {
        private final Map<String, Versioned> values = new HashMap<>();
        private long era = 1;
        private long version;

        void put(String claim) {
            values.put("tanagerhinge/claims/" + KEY.hex(), new Versioned(claim, ++version));
        }

        @Override
        public Optional<Versioned> read(String key) {
            return Optional.ofNullable(values.get(key));
        }

        @Override
        public Map<String, Versioned> readEach(List<String> keys) {
            Map<String, Versioned> found = new HashMap<>(values);
            found.keySet().retainAll(keys);
            return found;
        }

        @Override
        public Map<String, Versioned> readAll(String prefix) {
            return values;
        }

        @Override
        public boolean write(String key, String value, long expectedVersion) {
            values.put(key, new Versioned(value, ++version));
            return true;
        }

        @Override
        public Swap swap(String key, String value, long expectedVersion, long leaseId) {
            Versioned current = values.get(key);
            if ((current == null ? 0 : current.version()) != expectedVersion) {
                return new Swap.Differs(Optional.ofNullable(current));
            }
            values.put(key, new Versioned(value, ++version));
            return new Swap.Done();
        }

        @Override
        public long grantLease(Duration length) {
            return 1;
        }

        @Override
        public long era() {
            return era;
        }
    }
}
