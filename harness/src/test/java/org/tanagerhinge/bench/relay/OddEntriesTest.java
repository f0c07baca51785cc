package org.tanagerhinge.bench.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Message;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerhinge.bench.OddValues;
import org.tanagerhinge.core.duty.UsageCounts;
import org.tanagerhinge.core.duty.UsageReport;
import org.tanagerhinge.core.duty.UsageTally;
import org.tanagerhinge.gateway.GatewayDaemon;
import org.tanagerhinge.gateway.UsageCodec;
import org.tanagerhinge.platform.PlatformNames;
import org.tanagerhinge.standin.relay.GatewayFixture;
import org.tanagerhinge.standin.relay.ServerStandin;
import org.tanagerhinge.standin.relay.StoreStandin;
import org.tanagerhinge.wire.peer.CrashReport;
import org.tanagerhinge.wire.peer.PeerState;
import org.tanagerhinge.wire.peer.StreamReport;

/**
 * Guards against gateways that end, stand still or follow the store no further because of what another writer or a peer
 * states. The tests run with the stack size of the deploy file.
 */
class OddEntriesTest {
    private static final String HOST = "shop.example";
    private static final int SAMPLE_STEP = 7;

    @TempDir
    private Path folder;

    private RelayScene scene;

    @BeforeEach
    void setUp() {
        scene = RelayScene.withPlainService();
    }

    @AfterEach
    void tearDown() {
        scene.close();
    }

    private static Map<String, String> registration(String address) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("service", "\"plain\"");
        fields.put("address", "\"" + address + "\"");
        fields.put(PlatformNames.ZONE, "\"north\"");
        fields.put("slots", "8");
        fields.put("state", "\"ready\"");
        fields.put("version", "\"v1\"");
        fields.put(PlatformNames.BORN, "1764717600123");
        return fields;
    }

    /** Returns odd registrations; those that happen to be usable are of a service that no route leads to. */
    private static List<byte[]> registrations(int first) {
        Map<String, String> fields = registration("127.0.0.1:9");
        fields.put("service", "\"other\"");
        List<byte[]> all = OddValues.variants(fields, List.of("address"), 67);
        return IntStream.range(0, all.size())
                .filter(i -> i % SAMPLE_STEP == first)
                .mapToObj(all::get)
                .toList();
    }

    private static List<String> put(StoreStandin store, String prefix, List<byte[]> values) {
        List<String> keys = new ArrayList<>();
        for (int i = 0; i < values.size(); i++) {
            keys.add(prefix + i);
            store.put(prefix + i, values.get(i));
        }
        return keys;
    }

    /** Guards against a process that ends or gets never ready because of the first entries that it reads. */
    @Test
    void processStartsBesideOddEntriesAndFollowsTheOthers() throws Exception {
        try (GatewayFixture fixture = GatewayFixture.open(HOST)) {
            StoreStandin store = fixture.store();
            for (String prefix : List.of("gateways/x-", "held/x-", "held/part/x-", "software/x-", "usage/fixed/")) {
                put(store, prefix, registrations(1).subList(0, 40));
            }
            store.put("usage/tally", "[".repeat(5_000));
            store.put("usage/holders", "\u0000".repeat(5_000));
            put(store, "servers/a-", registrations(0));
            Path settings = folder.resolve("gateway.ini");
            GatewayFixture.Ports ports = fixture.settings(settings, "gateway");
            Path log = Files.createFile(folder.resolve("gateway.log"));
            GatewayProcess process = GatewayProcess.start(settings, log);
            try {
                fixture.server("p-1", "plain", ServerStandin.plain(200, "x"));
                fixture.publish();
                fixture.awaitReady(ports);
                assertAnswered(ports);
                for (int round = 2; round < 5; round++) {
                    List<String> keys = put(store, "servers/z-", registrations(round));
                    store.compact();
                    fixture.unregister("p-" + (round - 1));
                    String next = "p-" + round;
                    fixture.server(next, "plain", ServerStandin.plain(200, "x"));
                    RelayScene.await(() -> {
                        answered(ports, "/plain/" + next);
                        return fixture.received("to-/plain/" + next);
                    });
                    RelayScene.await(() -> fixture.received("to-/plain/" + next));
                    assertAnswered(ports);
                    keys.forEach(store::remove);
                }
                assertTrue(process.alive(), Files.readString(log));
                List<String> failures = Files.readAllLines(log).stream()
                        .filter(line -> line.contains("task_failed") || line.contains("Error"))
                        .toList();
                assertEquals(List.of(), failures);
            } finally {
                process.kill();
            }
        }
    }

    private static boolean answered(GatewayFixture.Ports ports, String path) {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.listenPort());
        try (RawCaller caller = RawCaller.to(address)) {
            return caller.exchange(RawCaller.request("GET", path, "to-" + path, "", ""))
                            .status()
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private static void assertAnswered(GatewayFixture.Ports ports) {
        RelayScene.await(() -> answered(ports, "/plain/x"));
        for (int i = 0; i < 20; i++) {
            assertTrue(answered(ports, "/plain/x"));
        }
    }

    /** Guards against requests without an answer because the id of a server cannot be sent in a header. */
    @ParameterizedTest
    @ValueSource(strings = {"servers/a\r\nb", "servers/a\u0000"})
    void serverWhoseIdCannotBeSentCostsNoRequest(String key) throws IOException {
        try (ServerStandin odd = ServerStandin.start("a", "", ServerStandin.plain(200, "x"))) {
            assertCostsNoRequest(key, "127.0.0.1:" + odd.address().getPort());
        }
    }

    /** Guards against an entry that takes the place of a server under whose key it is not. */
    @ParameterizedTest
    @ValueSource(strings = {PlatformNames.SERVERS_PREFIX, "servers/zz/s-1", "servers//s-1"})
    void entryUnderAnotherKeyCostsNoRequest(String key) throws IOException {
        assertCostsNoRequest(key, "127.0.0.1:" + closedPort());
    }

    private void assertCostsNoRequest(String key, String address) throws IOException {
        ServerStandin server = scene.server("s-1", "plain", ServerStandin.plain(200, "x"));
        GatewayDaemon gateway = scene.gateway();
        scene.store.put(key, OddValues.object(registration(address)));
        int listings = scene.store.calls(PlatformNames.RANGE_PATH);
        RelayScene.await(() -> {
            assertEquals(200, RelayScene.status(gateway, "/safe/x"));
            return scene.store.calls(PlatformNames.RANGE_PATH) > listings + 4;
        });
        assertTrue(!server.receivedRequests().isEmpty());
        assertTrue(gateway.metrics().text().lines().noneMatch(line -> line.contains("server_ejected")));
    }

    private static int closedPort() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /** Returns windows that no gateway can have counted. */
    static LongStream implausibleWindows() {
        return LongStream.of(Long.MAX_VALUE, 1L << 40, -1);
    }

    /** Guards against a holder of the usage duty that stands still, or reports nothing more, because of what is saved. */
    @ParameterizedTest
    @MethodSource("implausibleWindows")
    void usageIsReportedWhateverTheStoreSaysOfWindows(long window) throws IOException {
        scene.server("s-1", "plain", ServerStandin.plain(200, "x"));
        TreeMap<String, Long> counts = new TreeMap<>(Map.of("coop", Long.MAX_VALUE));
        UsageReport report =
                new UsageReport("x", 1, Long.MAX_VALUE, Long.MAX_VALUE, true, new TreeMap<>(Map.of(window, counts)));
        scene.store.put("usage/tally", UsageCodec.encodeTally(new UsageTally(List.of(report), window, window)));
        scene.store.put("usage/fixed/0000000000000000001", UsageCodec.encodeCounts(new UsageCounts(window, counts)));
        if (window >= 0) {
            scene.store.put(
                    "usage/fixed/%019d".formatted(window), UsageCodec.encodeCounts(new UsageCounts(window, counts)));
        }
        GatewayDaemon gateway = scene.gatewayWithDuties("gateway-a", Duration.ofSeconds(1), Duration.ofSeconds(1));
        RelayScene.await(() -> {
            assertEquals(200, RelayScene.status(gateway, "/safe/x"));
            return scene.duties.reports().size() >= 2;
        });
        assertTrue(scene.duties.reports().stream().noneMatch(each -> each.window() == window));
    }

    /** Returns messages of peers. */
    static Stream<Message> messages() {
        return Stream.of(
                PeerState.getDefaultInstance(), CrashReport.getDefaultInstance(), StreamReport.getDefaultInstance());
    }

    /** Guards against gateways that stop following anything because of numbers in the messages of a peer. */
    @ParameterizedTest
    @MethodSource("messages")
    void changesArriveBesideOddMessagesOfAPeer(Message message) throws IOException {
        ServerStandin first = scene.server("s-1", "plain", ServerStandin.plain(200, "x"));
        GatewayDaemon gateway = scene.gatewayWithDuties("gateway-a", Duration.ofSeconds(1), Duration.ofSeconds(1));
        GatewayDaemon peer = scene.gatewayWithDuties("gateway-b", Duration.ofSeconds(1), Duration.ofSeconds(1));
        Random random = new Random(67);
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            for (int i = 0; i < 1_500; i++) {
                byte[] bytes = datagram(message, random);
                InetSocketAddress target = scene.peerAddress(random.nextBoolean() ? gateway : peer);
                if (bytes.length <= 4_096) {
                    socket.send(new DatagramPacket(bytes, bytes.length, target));
                }
                if (i % 100 == 0) {
                    assertEquals(200, RelayScene.status(gateway, "/safe/x"));
                    assertEquals(200, RelayScene.status(peer, "/safe/x"));
                }
            }
        }
        ServerStandin second = scene.server("s-2", "plain", ServerStandin.plain(200, "y"));
        scene.platform.register(first, "plain", PlatformNames.DRAINING);
        long version = scene.platform.publish();
        RelayScene.await(() -> {
            assertEquals(200, RelayScene.status(gateway, "/safe/x"));
            assertEquals(200, RelayScene.status(peer, "/safe/x"));
            return !second.receivedRequests().isEmpty()
                    && gateway.configVersion() == version
                    && peer.configVersion() == version;
        });
    }

    private static byte[] datagram(Message message, Random random) throws IOException {
        Message odd = odd(message, random, 3);
        // Plausible statements of a peer are believed for a while, also false ones.
        byte[] body = odd instanceof PeerState state
                ? state.toBuilder().clearStoreEra().clearLeaving().build().toByteArray()
                : odd.toByteArray();
        byte[] mark = switch (message) {
            case CrashReport report -> new byte[] {1};
            case StreamReport report -> new byte[] {0};
            default -> new byte[0];
        };
        byte[] datagram = new byte[mark.length + body.length];
        System.arraycopy(mark, 0, datagram, 0, mark.length);
        System.arraycopy(body, 0, datagram, mark.length, body.length);
        return datagram;
    }

    /** Returns a message of which fields are set to usual and to odd values. */
    private static Message odd(Message prototype, Random random, int depth) {
        Message.Builder builder = prototype.newBuilderForType();
        for (FieldDescriptor field : prototype.getDescriptorForType().getFields()) {
            int values = field.isRepeated() ? random.nextInt(4) : random.nextInt(5) == 0 ? 0 : 1;
            for (int i = 0; i < values; i++) {
                Object value = field.getJavaType() == FieldDescriptor.JavaType.MESSAGE
                        ? depth == 0
                                ? null
                                : odd(builder.newBuilderForField(field).build(), random, depth - 1)
                        : oddValue(field, random);
                if (value != null && field.isRepeated()) {
                    builder.addRepeatedField(field, value);
                } else if (value != null) {
                    builder.setField(field, value);
                }
            }
        }
        return builder.build();
    }

    private static Object oddValue(FieldDescriptor field, Random random) {
        return switch (field.getJavaType()) {
            case INT -> pick(random, 0, 1, 250, 250, 1_000, Integer.MAX_VALUE, Integer.MIN_VALUE, -1);
            case LONG -> pick(random, 0L, 1L, 7L, 1_764_717_600_123L, Long.MAX_VALUE, Long.MIN_VALUE, -1L, 1L << 62);
            case FLOAT -> pick(random, 0f, 1f, -1f, Float.MAX_VALUE, Float.MIN_VALUE, Float.NaN);
            case DOUBLE -> pick(random, 0d, 1d, -1d, Double.MAX_VALUE, -Double.MAX_VALUE, Double.NaN);
            case BOOLEAN -> random.nextBoolean();
            case STRING ->
                pick(
                        random,
                        "",
                        "s-1",
                        "s-1",
                        "plain",
                        "plain",
                        "127.0.0.1:9",
                        "1.2.3.4:70000",
                        "x-" + random.nextInt(9));
            default -> null;
        };
    }

    private static Object pick(Random random, Object... values) {
        return values[random.nextInt(values.length)];
    }

    /** Guards against answers of a server that keep its gateway from using others or the store. */
    @Test
    void oddHeadersOfAServerCostNoRequestToOthers() throws IOException {
        List<String> values = OddValues.values().stream()
                .filter(value -> value.length() < 4_000 && value.chars().allMatch(c -> c >= ' ' && c < 127))
                .toList();
        int[] answers = new int[1];
        scene.platform.route("/odd/", "safe", "strange");
        scene.platform.service("strange", 0);
        scene.platform.publish();
        scene.server("o-1", "strange", (server, request, connection) -> {
            String value = values.get(answers[0]++ % values.size());
            connection.answer(
                    200,
                    server.headers(request) + PlatformNames.SERVER_LOAD + ": " + value + "," + value + "," + value
                            + "," + value + "\r\nServer-Leaving: " + value + "\r\nX-Weight-Versions: " + value
                            + "\r\n",
                    value);
        });
        scene.server("s-1", "plain", ServerStandin.plain(200, "x"));
        GatewayDaemon gateway = scene.gateway();
        for (int i = 0; i < values.size(); i++) {
            RelayScene.status(gateway, "/odd/x");
            assertEquals(200, RelayScene.status(gateway, "/safe/x"));
        }
        assertTrue(answers[0] > 0);
        assertTrue(gateway.metrics().text().lines().noneMatch(line -> line.contains("task_failed")));
    }
}
