import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Pattern;

/** Another writer leaves an entry under servers/ whose bytes can't be read; later a server drains and leaves. */
final class UnreadableEntry {
    /** {@code drainMs} of the site. */
    private static final long DRAIN_MILLIS = 3_000;
    /** {@code contactMs} of the site: from then on the gateways are in touch. */
    private static final long IN_TOUCH_MILLIS = 4_000;

    private static final long ENTRY_FOR_MILLIS = 4_000;
    /** From the other writer's first write until the server drains; the entry is gone again long before. */
    private static final long DRAIN_AFTER_ENTRY_MILLIS = 10_000;
    /** How long the server goes on after {@code drainMs}. */
    private static final long LITTLE_LONGER_MILLIS = 6_000;

    private static final long END_AFTER_DRAIN_MILLIS = 14_000;

    private static volatile boolean ended;
    private static volatile long drainAckMillis = Long.MAX_VALUE;
    private static final AtomicLong late = new AtomicLong();

    private UnreadableEntry() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = Rig.CANNOT_RUN;
        try (Rig rig = new Rig(Path.of(args[0]))) {
            exit = run(rig, trouble);
            rig.log("exit code " + exit);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }

    private static int run(Rig rig, boolean trouble) throws Exception {
        rig.retrySlack = "86";
        rig.store.put("op/config", ("{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"hostname\":\"shop.example\",\"prefix\":\"/reserve/\","
                + "\"routeType\":\"unsafe\",\"timeoutMs\":1500,\"targetLatencyMs\":300,\"priority\":0,\"service\":\"app\",\"maxAttempts\":1,"
                + "\"public\":false,\"sticky\":false,\"resumable\":false}],\"services\":[{\"name\":\"app\",\"healthPath\":\"/health\","
                + "\"maxConnections\":200,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
                + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"club\","
                + "\"apiKeys\":[\"key1\"],\"priority\":1}]}").getBytes(StandardCharsets.UTF_8));
        Map<String, AtomicLong> runs = new TreeMap<>();
        for (String id : List.of("i-1", "i-2", "i-3", "i-4")) {
            runs.put(id, new AtomicLong());
        }
        for (String id : List.of("i-1", "i-2", "i-3")) {
            startServer(rig, id, runs);
        }
        List<Rig.Gateway> gateways = List.of(rig.startGateway("front-1"), rig.startGateway("front-2"));
        for (Rig.Gateway gateway : gateways) {
            if (!gateway.awaitReady(20_000)) {
                return Rig.CANNOT_RUN;
            }
        }
        long start = Rig.now();
        Map<Integer, AtomicLong> statuses = new TreeMap<>();
        for (Rig.Gateway gateway : gateways) {
            for (int client = 0; client < 3; client++) {
                Rig.daemon(() -> client(rig, gateway, statuses));
            }
        }
        Rig.sleepUntil(start + IN_TOUCH_MILLIS);
        if (trouble) {
            rig.store.put("servers/x-1", "[".repeat(2_000).getBytes(StandardCharsets.UTF_8));
            rig.log("another writer has written servers/x-1: 2,000 bytes that are no JSON text");
        }
        Rig.sleep(ENTRY_FOR_MILLIS);
        if (trouble) {
            rig.store.remove("servers/x-1");
            rig.log("the other writer has removed servers/x-1");
        }
        Rig.sleepUntil(start + IN_TOUCH_MILLIS + DRAIN_AFTER_ENTRY_MILLIS);
        startServer(rig, "i-4", runs);
        rig.servers.get(0).drain();
        drainAckMillis = Rig.now();
        Rig.sleep(DRAIN_MILLIS + LITTLE_LONGER_MILLIS);
        rig.servers.get(0).leave();
        rig.servers.get(0).close();
        rig.log("server i-1 has ended");
        Rig.sleepUntil(drainAckMillis + END_AFTER_DRAIN_MILLIS);
        synchronized (statuses) {
            rig.log("answers by status: " + statuses);
        }
        ended = true;
        rig.log("requests run by each server: " + runs);
        for (Rig.Gateway gateway : gateways) {
            rig.log(gateway.name + (gateway.alive() ? " still runs and is " : " has ended and is ")
                    + (gateway.ready() ? "ready" : "not ready"));
            gateway.recordOutput(Pattern.compile("StackOverflow|Exception|unreadable", Pattern.CASE_INSENSITIVE));
        }
        rig.log("requests that reached i-1 later than drainMs after the acknowledgement that it is draining: " + late);
        return late.get() > 0 ? 1 : 0;
    }

    private static void startServer(Rig rig, String id, Map<String, AtomicLong> runs) throws IOException {
        rig.startServer(id, "app", (head, body, out) -> {
            runs.get(id).incrementAndGet();
            long sinceDrain = Rig.now() - drainAckMillis;
            if (id.equals("i-1") && drainAckMillis != Long.MAX_VALUE && sinceDrain > 0) {
                if (sinceDrain > DRAIN_MILLIS) {
                    late.incrementAndGet();
                }
                rig.log("server i-1 runs " + head.header("X-Attempt-Id") + ", " + sinceDrain + " ms after the acknowledgement");
            }
            Thread.sleep(60);
            Rig.answer(out, head, "done".repeat(200).getBytes(StandardCharsets.US_ASCII));
        });
    }

    /** Sends a request every 150 ms over a kept connection. */
    private static void client(Rig rig, Rig.Gateway gateway, Map<Integer, AtomicLong> statuses) {
        while (!ended) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", gateway.port), 1_000);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(4_000);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                boolean open = true;
                while (open && !ended) {
                    String id = rig.newId();
                    socket.getOutputStream().write(("POST /reserve/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id
                            + "\r\nX-Deadline-Ms: 3050\r\nAuthorization: Token key1\r\nContent-Length: 2\r\n\r\nhi")
                            .getBytes(StandardCharsets.US_ASCII));
                    Rig.Head head = Rig.Http.readHead(in);
                    Rig.Http.readBody(in, head);
                    synchronized (statuses) {
                        statuses.computeIfAbsent(head.status(), status -> new AtomicLong()).incrementAndGet();
                    }
                    open = !head.header("Connection").equalsIgnoreCase("close");
                    Rig.sleep(150);
                }
            } catch (IOException e) {
                rig.log("a client of " + gateway.name + ": " + e);
                Rig.sleep(500);
            }
        }
    }
}
