import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.tanagerhinge.standin.relay.RawServer;

/**
 * Servers that are full at times reject requests, and a few of their answers come twice, the second time where the next
 * answer is due. Counts requests that may run once and run twice.
 */
final class ShedCase {
    private static final int SERVERS = 5;
    /** Servers that send answers twice: a share of 0.6. */
    private static final int DOUBLING_SERVERS = 3;
    private static final int SLOTS = 6;
    private static final int QUEUE = 4;
    private static final long WORK_MILLIS = 86;
    /** Clients send together, so that the servers are full for a moment and free again before the next time. */
    private static final long TICK_MILLIS = 600;
    private static final int CLIENTS = 70;
    private static final double DOUBLED_SHARE = 0.03;
    private static final long PAUSE_MILLIS = 3_000;
    private static final long TROUBLE_FOR_MILLIS = 5_000;
    private static final int TROUBLES = 6;

    private static final Map<String, List<String>> RUNS = new ConcurrentHashMap<>();
    private static final Map<String, Integer> STATUSES = new ConcurrentHashMap<>();
    private static final Map<String, Integer> REFUSED = new ConcurrentHashMap<>();
    private static final AtomicInteger SHED = new AtomicInteger();
    private static final AtomicInteger DOUBLED = new AtomicInteger();
    private static final AtomicInteger DOUBLED_SHEDS = new AtomicInteger();
    private static volatile boolean doubling;
    private static volatile boolean stop;

    private ShedCase() {}

    public static void main(String[] words) {
        Rig.play(words[0], ShedCase::run);
    }

    /** A server with slots and a short queue. */
    private static final class Server {
        final String id;
        final Rig rig;
        private int running;
        private int waiting;
        /** What is still to be sent again on a connection. */
        private final Map<RawServer.Connection, String> copies = new ConcurrentHashMap<>();

        private final boolean doubles;

        Server(Rig rig, int number) {
            this.rig = rig;
            this.id = "s" + number;
            this.doubles = number < DOUBLING_SERVERS;
        }

        void handle(RawServer.Request request, RawServer.Connection connection) throws IOException, InterruptedException {
            String attempt = request.header("X-Attempt-Id");
            String copy = copies.remove(connection);
            if (!request.header("X-Expect-Instance").equals(id)) {
                connection.answer(421, "X-Instance-Id: " + id + "\r\n", "");
                return;
            }
            synchronized (this) {
                if (running >= SLOTS && waiting >= QUEUE) {
                    SHED.incrementAndGet();
                    send(connection, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", copy, true);
                    return;
                }
                waiting++;
                while (running >= SLOTS) {
                    wait();
                }
                waiting--;
                running++;
            }
            RUNS.computeIfAbsent(attempt, key -> java.util.Collections.synchronizedList(new ArrayList<>())).add(id);
            if (copy != null) {
                connection.write(copy);
            }
            Thread.sleep(WORK_MILLIS);
            synchronized (this) {
                running--;
                notifyAll();
            }
            String body = "status of " + attempt + "\n";
            send(
                    connection,
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Seal: seal-of-" + id + "\r\nX-Server-Load: "
                            + running + "," + waiting + "," + SLOTS + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body,
                    null,
                    false);
        }

        private void send(RawServer.Connection connection, String answer, String copy, boolean shed) throws IOException {
            if (copy != null) {
                connection.write(copy);
            }
            connection.write(answer);
            if (doubling && doubles && ThreadLocalRandom.current().nextDouble() < DOUBLED_SHARE) {
                DOUBLED.incrementAndGet();
                if (shed) {
                    DOUBLED_SHEDS.incrementAndGet();
                }
                copies.put(connection, answer);
            }
        }
    }

    private static int run(Rig rig) throws Exception {
        rig.platform.service("ledger", 0);
        rig.platform.route("/job/", "unsafe", "ledger").put("maxAttempts", 1);
        rig.platform.publish();
        for (int i = 0; i < SERVERS; i++) {
            Server server = new Server(rig, i);
            RawServer raw = RawServer.start(0, server::handle);
            rig.register(server.id, raw.address().getPort(), "ledger", SLOTS);
        }
        Rig.Gateway first = rig.gateway("front-1");
        Rig.Gateway second = rig.gateway("front-2");
        rig.awaitReady(first);
        rig.awaitReady(second);
        Rig.sleep(2_000);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Rig.Gateway gateway = i % 2 == 0 ? first : second;
            clients.add(Thread.ofVirtual().start(() -> client(rig, gateway, number)));
        }
        for (int i = 0; i < TROUBLES; i++) {
            Rig.sleep(PAUSE_MILLIS);
            doubling = rig.trouble;
            Rig.sleep(TROUBLE_FOR_MILLIS);
            doubling = false;
        }
        Rig.sleep(PAUSE_MILLIS);
        stop = true;
        for (Thread client : clients) {
            client.join(8_000);
        }
        int twice = 0;
        for (Map.Entry<String, List<String>> run : RUNS.entrySet()) {
            if (run.getValue().size() > 1) {
                twice++;
                rig.log(run.getKey() + " ran at " + run.getValue());
            }
        }
        int refused = 0;
        for (String id : REFUSED.keySet()) {
            if (RUNS.containsKey(id)) {
                refused++;
                rig.log(id + " was answered 503 and ran at " + RUNS.get(id));
            }
        }
        rig.log("answers of the gateways by status: " + new HashMap<>(STATUSES));
        return rig.verdict(
                twice + refused > 0,
                twice + " of " + RUNS.size() + " requests of an unsafe route ran more than once, " + refused
                        + " were answered 503 and had run; servers rejected " + SHED
                        + ", sent " + DOUBLED + " answers twice, " + DOUBLED_SHEDS + " of them rejections");
    }

    private static void client(Rig rig, Rig.Gateway gateway, int number) {
        Rig.Client client = null;
        for (int i = 0; !stop; i++) {
            String id = "c" + number + "-" + i;
            Rig.sleep(TICK_MILLIS - rig.millis() % TICK_MILLIS);
            try {
                if (client == null) {
                    client = new Rig.Client(gateway.port());
                }
                client.request("POST", "/job/" + id, id, 4_000, "", "job".getBytes());
                Rig.Answer answer = client.read(6_000);
                STATUSES.merge("" + answer.status(), 1, Integer::sum);
                if (answer.status() >= 500) {
                    if (answer.status() == 503 && answer.header("X-Server-Seal").isEmpty()) {
                        REFUSED.put(id, answer.status());
                    }
                }
                rig.log(id + " sent to " + gateway.name() + ", answered " + answer.status() + ", ran at "
                        + RUNS.getOrDefault(id, List.of()));
                if ("close".equalsIgnoreCase(answer.header("Connection"))) {
                    client.close();
                    client = null;
                }
            } catch (IOException e) {
                STATUSES.merge("none", 1, Integer::sum);
                rig.log(id + " sent to " + gateway.name() + ", not answered: " + e.getMessage());
                client = null;
                Rig.sleep(200);
            }
        }
    }
}
