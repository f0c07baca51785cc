package org.tanagerhinge.bench.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.tanagerhinge.gateway.GatewayDaemon;
import org.tanagerhinge.platform.PlatformNames;
import org.tanagerhinge.standin.relay.ServerStandin;

/**
 * Guards against gateways that stop following the store because of bytes that they cannot read. The tests run with the
 * stack size of the deploy file, which decides what exhausts it.
 */
class UnreadableEntriesTest {
    private static final List<String> PREFIXES = List.of(
            "servers/x-",
            "gateways/x-",
            "held/x-",
            "held/part/x-",
            "software/",
            "software/x-",
            "usage/fixed/000000000000000000");

    private static final int ROUNDS = 4;
    private static final int DATAGRAM_TIMEOUT_MILLIS = 10_000;

    private RelayScene scene;

    @BeforeEach
    void setUp() {
        scene = RelayScene.withPlainService();
    }

    @AfterEach
    void tearDown() {
        scene.close();
    }

    /** Values that no reader expects. */
    private enum Value {
        EMPTY(""),
        NESTED_ARRAYS("[".repeat(2_000)),
        NESTED_OBJECTS("{\"a\":".repeat(2_000)),
        CLOSED_NESTED_ARRAYS("[".repeat(900) + "]".repeat(900)),
        LARGE_ARRAY("[" + "[],".repeat(200_000) + "[]]"),
        LONG_NUMBER("{\"slots\":" + "9".repeat(200_000) + "}"),
        LONG_NAME("{\"" + "a".repeat(200_000) + "\":1}"),
        LARGE_EXPONENT("{\"slots\":1e999999999,\"service\":\"plain\"}"),
        NO_IP_ADDRESS(registration("256.1.1.1:80")),
        FIVE_PART_ADDRESS(registration("1.2.3.4.5:80")),
        PORT_ZERO(registration("127.0.0.1:0")),
        LONG_ADDRESS(registration("1".repeat(10_000) + ":80")),
        OTHER_TYPES("{\"service\":[],\"address\":{},\"zone\":1,\"slots\":\"8\",\"state\":null}"),
        OTHER_CHARACTER_SET(new String(new byte[] {0, 0, 0, '{', 0, 0, 0, '}', 0}, StandardCharsets.ISO_8859_1));

        private final String text;

        Value(String text) {
            this.text = text;
        }

        private static String registration(String address) {
            return "{\"service\":\"plain\",\"address\":\"" + address
                    + "\",\"zone\":\"n\",\"slots\":8,\"state\":\"ready\"}";
        }
    }

    /** Checks that gateways send requests to a server that registers now, and none to one that has left. */
    private void assertFollowsServers(ServerStandin leaving, ServerStandin newServer, List<GatewayDaemon> gateways) {
        scene.platform.register(leaving, "plain", PlatformNames.DRAINING);
        for (GatewayDaemon gateway : gateways) {
            int before = newServer.receivedRequests().size();
            RelayScene.await(() -> {
                assertEquals(200, RelayScene.status(gateway, "/safe/x"));
                return newServer.receivedRequests().size() > before;
            });
        }
    }

    /** Guards against a poll of the store that one entry ends, and against gateways that cannot start beside it. */
    @Test
    void serversAreFollowedWhileAndAfterEntriesAreUnreadable() throws IOException {
        ServerStandin first = scene.server("s-1", "plain", ServerStandin.plain(200, "x"));
        GatewayDaemon gateway = scene.gateway();
        for (Value value : Value.values()) {
            PREFIXES.forEach(prefix -> scene.store.put(prefix + value, value.text));
        }
        int listings = scene.store.calls(PlatformNames.RANGE_PATH);
        RelayScene.await(() -> scene.store.calls(PlatformNames.RANGE_PATH) > listings + 2);
        ServerStandin second = scene.server("t-2", "plain", ServerStandin.plain(200, "y"));
        GatewayDaemon young = scene.gateway();
        assertFollowsServers(first, second, List.of(gateway, young));
        RelayScene.await(() -> gateway.metrics().text().contains(unreadableServers(Value.values().length)));

        for (Value value : Value.values()) {
            PREFIXES.forEach(prefix -> scene.store.remove(prefix + value));
        }
        ServerStandin third = scene.server("u-3", "plain", ServerStandin.plain(200, "z"));
        assertFollowsServers(second, third, List.of(gateway, young));
        RelayScene.await(() -> gateway.metrics().text().contains(unreadableServers(0)));
    }

    private static String unreadableServers(int count) {
        return "tanagerhinge_entries_unreadable{listing=\"servers\"} " + (double) count;
    }

    /** Guards against a gateway that reads no configuration after one that it cannot read. */
    @Test
    void configurationIsFollowedAfterUnreadableOnes() throws IOException {
        scene.server("s-1", "plain", ServerStandin.plain(200, "x"));
        GatewayDaemon gateway = scene.gateway();
        for (Value value : Value.values()) {
            scene.store.put(PlatformNames.CONFIG_KEY, value.text);
            int watches = scene.store.calls(PlatformNames.WATCH_PATH);
            RelayScene.await(() -> scene.store.calls(PlatformNames.WATCH_PATH) > watches);
        }
        assertEquals(200, RelayScene.status(gateway, "/safe/x"));
        long version = scene.platform.publish();
        RelayScene.await(() -> gateway.configVersion() == version);
    }

    /** Guards against a usage duty that no gateway can take over because of what the store holds. */
    @Test
    void dutyIsTakenOverBesideUnreadableEntries() throws IOException {
        scene.server("s-1", "plain", ServerStandin.plain(200, "x"));
        for (String key : List.of("usage/holders", "usage/tally", "usage/x", "usage/fixed/0000000000000000001")) {
            scene.store.put(key, new byte[] {-1, -1, -1, -1, -1, -1, -1, -1, -1, -1, -1, -1});
        }
        GatewayDaemon gateway = scene.gatewayWithDuties("gateway-a", Duration.ofSeconds(1), Duration.ofSeconds(1));
        RelayScene.await(() -> {
            assertEquals(200, RelayScene.status(gateway, "/safe/x"));
            return !scene.duties.reports().isEmpty();
        });
    }

    /** Guards against a usage duty that nobody holds any more because of a response of the store. */
    @Test
    void dutyGoesOnAfterDamagedResponses() throws IOException {
        scene.server("s-1", "plain", ServerStandin.plain(200, "x"));
        GatewayDaemon gateway = scene.gatewayWithDuties("gateway-a", Duration.ofSeconds(1), Duration.ofSeconds(1));
        scene.store.alterResponses(body -> "[".repeat(5_000));
        RelayScene.sleep(3_500);
        scene.store.alterResponses(body -> body);
        int reports = scene.duties.reports().size();
        RelayScene.await(() -> {
            assertEquals(200, RelayScene.status(gateway, "/safe/x"));
            return scene.duties.reports().size() > reports;
        });
    }

    /** Damages texts: replaces, inserts, repeats and removes parts. */
    private static String damaged(String text, Random random) {
        StringBuilder result = new StringBuilder(text);
        int changes = 1 + random.nextInt(4);
        for (int i = 0; i < changes; i++) {
            int at = random.nextInt(result.length() + 1);
            int end = Math.min(result.length(), at + random.nextInt(20));
            switch (random.nextInt(6)) {
                case 0 -> result.delete(at, end);
                case 1 -> result.insert(at, result.substring(at, end).repeat(random.nextInt(200)));
                case 2 -> result.insert(at, "[{\"a\":".repeat(random.nextInt(500)));
                case 3 -> result.insert(at, random.nextLong());
                case 4 ->
                    result.replace(
                            at,
                            end,
                            List.of("null", "true", "-1", "\"\"", "{}", "[]", "1e400")
                                    .get(random.nextInt(7)));
                default -> result.insert(at, (char) random.nextInt(0xD800));
            }
        }
        return result.toString();
    }

    static LongStream seeds() {
        return LongStream.rangeClosed(1, Long.getLong("tanagerhinge.fuzz.seeds", 2));
    }

    /** Random and damaged entries, pages and datagrams, each round followed by changes that must arrive. */
    @ParameterizedTest
    @MethodSource("seeds")
    void changesArriveAfterRandomDamage(long seed) throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            socket.setSoTimeout(DATAGRAM_TIMEOUT_MILLIS);
            scene.store.put("gateways/fuzz", "127.0.0.1:" + socket.getLocalPort());
            assertChangesArrive(new Random(seed), socket);
        }
    }

    private void assertChangesArrive(Random random, DatagramSocket socket) throws IOException {
        ServerStandin server = scene.server("s-0", "plain", ServerStandin.plain(200, "x"));
        GatewayDaemon gateway = scene.gatewayWithDuties("gateway-a", Duration.ofSeconds(1), Duration.ofSeconds(1));
        GatewayDaemon peer = scene.gatewayWithDuties("gateway-b", Duration.ofSeconds(1), Duration.ofSeconds(1));
        for (int round = 1; round <= ROUNDS; round++) {
            List<String> keys = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                String key = PREFIXES.get(random.nextInt(PREFIXES.size())) + random.nextInt(1_000);
                byte[] value = new byte[random.nextInt(200)];
                random.nextBytes(value);
                if (random.nextBoolean()) {
                    value = damaged(Value.registration("127.0.0.1:9"), random).getBytes(StandardCharsets.UTF_8);
                }
                scene.store.put(key, value);
                keys.add(key);
            }
            sendDatagrams(random, socket, List.of(scene.peerAddress(gateway), scene.peerAddress(peer)));
            scene.store.alterResponses(body -> random.nextInt(3) == 0 ? damaged(body, random) : body);
            RelayScene.sleep(700);
            scene.store.alterResponses(body -> body);
            keys.forEach(scene.store::remove);
            ServerStandin next = scene.server("s-" + round, "plain", ServerStandin.plain(200, "x"));
            assertFollowsServers(server, next, List.of(gateway, peer));
            long version = scene.platform.publish();
            RelayScene.await(() -> gateway.configVersion() == version && peer.configVersion() == version);
            server = next;
        }
    }

    /** Sends random datagrams, and damaged ones of the gateways themselves, which report to the socket. */
    private static void sendDatagrams(Random random, DatagramSocket socket, List<InetSocketAddress> targets)
            throws IOException {
        for (int i = 0; i < 200; i++) {
            byte[] bytes = new byte[random.nextInt(300)];
            random.nextBytes(bytes);
            socket.send(new DatagramPacket(bytes, bytes.length, targets.get(random.nextInt(targets.size()))));
        }
        for (int i = 0; i < 4; i++) {
            DatagramPacket received = new DatagramPacket(new byte[4_096], 4_096);
            socket.receive(received);
            for (int copy = 0; copy < 50; copy++) {
                byte[] bytes = Arrays.copyOf(received.getData(), random.nextInt(received.getLength()) + 1);
                for (int change = random.nextInt(5); change > 0; change--) {
                    bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
                }
                socket.send(new DatagramPacket(bytes, bytes.length, targets.get(random.nextInt(targets.size()))));
            }
        }
    }
}
