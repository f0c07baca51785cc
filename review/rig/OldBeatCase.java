import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.tanagerhinge.standin.relay.RawServer;

/**
 * A server leaves: its entry is removed from the store, and it serves on for a while. A renewal of its entry that got no
 * answer seconds before is executed late, after the removal. Counts the requests that reach the server later than
 * drainMs after the removal.
 */
final class OldBeatCase {
    private static final int SERVERS = 4;
    private static final int CLIENTS = 12;
    private static final long WORK_MILLIS = 86;
    private static final long DRAIN_MILLIS = 2_000;
    /** The store counts as stable after this time without disruption. */
    private static final long CONTACT_MILLIS = 3_000;
    /** Time after which a lost write is executed; the limit is 6 s. */
    private static final long LATE_MILLIS = 5_900;
    /** Time from the removal of its entry for which the server serves: drainMs and some seconds. */
    private static final long SERVES_MILLIS = 6_000;
    /** The store removes an entry after three heartbeat intervals of silence. */
    private static final long LAPSE_MILLIS = 3 * Rig.HEARTBEAT_MILLIS;

    private static final Map<String, Long> ARRIVED = new ConcurrentHashMap<>();
    private static final Map<String, Integer> STATUSES = new ConcurrentHashMap<>();
    private static final AtomicInteger LOST = new AtomicInteger();
    private static volatile boolean stop;
    private static volatile long removedAtMillis = Long.MAX_VALUE;

    private OldBeatCase() {}

    public static void main(String[] words) {
        Rig.play(words[0], OldBeatCase::run);
    }

    private static int run(Rig rig) throws Exception {
        rig.platform.service("ledger", 0);
        rig.platform.route("/job/", "unsafe", "ledger").put("timeoutMs", 4_000);
        rig.platform.publish();
        List<RawServer> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            String id = "s" + i;
            RawServer server = RawServer.start(0, (request, connection) -> {
                String attempt = request.header("X-Attempt-Id");
                if (!request.header("X-Expect-Instance").equals(id)) {
                    connection.answer(421, "X-Instance-Id: " + id + "\r\n", "");
                    return;
                }
                if (id.equals("s0")) {
                    ARRIVED.put(attempt, rig.millis());
                }
                Thread.sleep(WORK_MILLIS);
                connection.answer(
                        200, "X-Attempt-Id: " + attempt + "\r\nX-Server-Seal: seal-of-" + id + "\r\n", "status of " + attempt + "\n");
            });
            servers.add(server);
            rig.register(id, server.address().getPort(), "ledger", 6);
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
        Rig.sleep(4_000);
        // The write of this moment gets no answer. The server goes on renewing its entry.
        String lostWrite = rig.entry("s0");
        long lostAtMillis = rig.millis();
        rig.log("a renewal of s0 is sent, " + (rig.trouble ? "its answer is lost and it is executed late" : "and executed") + ": " + lostWrite);
        if (!rig.trouble) {
            rig.store.put("servers/s0", lostWrite);
        }
        Rig.sleep(CONTACT_MILLIS + 300);
        rig.forget("s0");
        rig.store.remove("servers/s0");
        removedAtMillis = rig.millis();
        rig.log("s0 leaves: its entry is removed");
        Rig.sleep(LATE_MILLIS - (rig.millis() - lostAtMillis));
        if (rig.trouble) {
            rig.store.put("servers/s0", lostWrite);
            rig.log("the lost renewal of s0 is executed");
        }
        long lapsesAt = rig.millis() + LAPSE_MILLIS;
        Rig.sleep(removedAtMillis + SERVES_MILLIS - rig.millis());
        servers.get(0).close();
        rig.log("s0 ends");
        Rig.sleep(lapsesAt - rig.millis());
        rig.store.remove("servers/s0");
        Rig.sleep(1_000);
        stop = true;
        for (Thread client : clients) {
            client.join(8_000);
        }
        List<String> late = new ArrayList<>();
        ARRIVED.forEach((id, at) -> {
            if (at > removedAtMillis + DRAIN_MILLIS) {
                late.add(id);
                rig.log(id + " reached s0 " + (at - removedAtMillis) + " ms after its removal");
            }
        });
        rig.log("answers of the gateways by status: " + STATUSES);
        return rig.verdict(
                !late.isEmpty(),
                late.size() + " requests reached s0 later than drainMs after its removal, " + LOST
                        + " requests had no answer or a 502; " + STATUSES);
    }

    private static void client(Rig rig, Rig.Gateway gateway, int number) {
        Rig.Client client = null;
        for (int i = 0; !stop; i++) {
            String id = "c" + number + "-" + i;
            try {
                if (client == null) {
                    client = new Rig.Client(gateway.port());
                }
                client.request("POST", "/job/" + id, id, 4_000, "", "job".getBytes());
                Rig.Answer answer = client.read(6_000);
                STATUSES.merge("" + answer.status(), 1, Integer::sum);
                rig.log(id + " sent to " + gateway.name() + ", answered " + answer.status()
                        + (ARRIVED.containsKey(id) ? ", reached s0" : ""));
                if (answer.status() == 502) {
                    LOST.incrementAndGet();
                }
                if ("close".equalsIgnoreCase(answer.header("Connection"))) {
                    client.close();
                    client = null;
                }
            } catch (IOException e) {
                LOST.incrementAndGet();
                rig.log(id + " sent to " + gateway.name() + ", not answered: " + e.getMessage());
                client = null;
                Rig.sleep(200);
            }
            Rig.sleep(20);
        }
    }
}
