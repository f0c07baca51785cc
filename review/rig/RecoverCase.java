import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.tanagerhinge.standin.relay.RawServer;

/**
 * Clients read the same plan again and again. A quarter of the servers crash, and ten seconds later all processes of the
 * system are killed and start again. Compares the share that is served before with the share after recoveryS.
 */
final class RecoverCase {
    private static final int SERVERS = 12;
    private static final int CRASHED = 3;
    private static final int CLIENTS = 48;
    private static final long WORK_MILLIS = 86;
    private static final long CRASH_MILLIS = 2_000;
    private static final long KILL_AFTER_MILLIS = 10_000;
    private static final long DOWN_MILLIS = 1_000;
    private static final long RECOVERY_MILLIS = 12_000;
    private static final long MEASURED_MILLIS = 15_000;

    private static final Map<String, Integer> BEFORE = new ConcurrentHashMap<>();
    private static final Map<String, Integer> AFTER = new ConcurrentHashMap<>();
    private static final AtomicInteger RUNS = new AtomicInteger();
    private static final Rig.Gateway[] GATEWAYS = new Rig.Gateway[2];
    private static volatile long backAtMillis = Long.MAX_VALUE;
    private static volatile boolean killed;
    private static volatile boolean stop;

    private RecoverCase() {}

    public static void main(String[] words) {
        Rig.play(words[0], RecoverCase::run);
    }

    private static RawServer server(String id, int port) {
        return RawServer.start(port, (request, connection) -> {
            if (!request.header("X-Expect-Instance").equals(id)) {
                connection.answer(421, "X-Instance-Id: " + id + "\r\n", "");
                return;
            }
            RUNS.incrementAndGet();
            Thread.sleep(WORK_MILLIS);
            connection.answer(
                    200,
                    "X-Attempt-Id: " + request.header("X-Attempt-Id") + "\r\nX-Server-Seal: seal-of-" + id + "\r\n",
                    "the plan\n");
        });
    }

    private static int run(Rig rig) throws Exception {
        rig.platform.service("ledger", 0);
        rig.platform.route("/plan/", "safe", "ledger").put("timeoutMs", 4_000);
        rig.platform.publish();
        int[] ports = Rig.freePorts(SERVERS);
        List<RawServer> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(server("s" + i, ports[i]));
            rig.register("s" + i, servers.get(i).address().getPort(), "ledger", 6);
        }
        for (int i = 0; i < GATEWAYS.length; i++) {
            GATEWAYS[i] = rig.gateway("front-" + i);
        }
        for (Rig.Gateway gateway : GATEWAYS) {
            rig.awaitReady(gateway);
        }
        Rig.sleep(2_000);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(Thread.ofVirtual().start(() -> client(rig, number)));
        }
        Rig.sleep(6_000);
        if (rig.trouble) {
            for (int i = 0; i < CRASHED; i++) {
                rig.lapse("s" + i);
                servers.get(i).close();
            }
            rig.log("s0 to s" + (CRASHED - 1) + " crash");
            Thread.ofPlatform().daemon().start(() -> {
                Rig.sleep(CRASH_MILLIS);
                for (int i = 0; i < CRASHED; i++) {
                    int port = servers.get(i).address().getPort();
                    server("s" + i + "-again", port);
                    rig.register("s" + i + "-again", port, "ledger", 6);
                }
            });
            Rig.sleep(KILL_AFTER_MILLIS);
        }
        killed = true;
        if (rig.trouble) {
            for (Rig.Gateway gateway : GATEWAYS) {
                rig.signal("KILL", gateway.process());
            }
            Rig.sleep(DOWN_MILLIS);
            for (int i = 0; i < GATEWAYS.length; i++) {
                GATEWAYS[i] = rig.gateway("front-" + i, false);
            }
            for (Rig.Gateway gateway : GATEWAYS) {
                rig.awaitReady(gateway);
            }
        }
        backAtMillis = rig.millis();
        Rig.sleep(RECOVERY_MILLIS + MEASURED_MILLIS);
        stop = true;
        for (Thread client : clients) {
            client.join(8_000);
        }
        double before = share(BEFORE);
        double after = share(AFTER);
        rig.log("keys of the system in the store: " + rig.store.keys("held/"));
        return rig.verdict(
                before >= 0.25 && after < 0.25,
                String.format(
                        "%.3f of the requests were served before, %.3f of those sent later than recoveryS after the restart;"
                                + " answers before %s, after %s",
                        before, after, BEFORE, AFTER));
    }

    private static double share(Map<String, Integer> answers) {
        int all = answers.values().stream().mapToInt(Integer::intValue).sum();
        return all == 0 ? 0 : answers.getOrDefault("200", 0) / (double) all;
    }

    private static void client(Rig rig, int number) {
        for (int i = 0; !stop; i++) {
            String id = "c" + number + "-" + i;
            long sentAt = rig.millis();
            boolean first = !killed;
            String result;
            String retryAfter = "";
            try (Rig.Client client = new Rig.Client(GATEWAYS[number % 2].port())) {
                client.request("GET", "/plan/current", id, 4_000, "", new byte[0]);
                Rig.Answer answer = client.read(6_000);
                result = "" + answer.status();
                retryAfter = answer.header("Retry-After");
            } catch (IOException e) {
                result = "none";
            }
            rig.log(id + " answered " + result + (retryAfter.isEmpty() ? "" : ", Retry-After " + retryAfter));
            if (result.equals("none")) {
                Rig.sleep(100);
            }
            if (first && !killed) {
                BEFORE.merge(result, 1, Integer::sum);
            } else if (sentAt > backAtMillis + RECOVERY_MILLIS) {
                AFTER.merge(result, 1, Integer::sum);
            }
            Rig.sleep(20);
        }
    }
}
