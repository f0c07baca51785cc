import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server crashes in the middle of its answers, which have no length, and is back after two seconds. Counts successes
 * whose body is not the server's whole body.
 */
final class UnframedCase {
    private static final int SERVERS = 4;
    private static final int CLIENTS = 184;
    private static final long CRASH_MILLIS = 2_000;
    /** Time that a server process takes to start. */
    private static final long START_MILLIS = 800;
    private static final long PAUSE_MILLIS = 3_000;
    private static final int CRASHES = 10;
    private static final int SLOTS = 48;

    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger CUT = new AtomicInteger();
    private static final AtomicInteger OTHER = new AtomicInteger();
    private static final AtomicInteger MIXED = new AtomicInteger();
    private static volatile boolean stop;

    private UnframedCase() {}

    public static void main(String[] words) {
        Rig.play(words[0], UnframedCase::run);
    }

    private static int run(Rig rig) throws Exception {
        rig.platform.service("ledger", 0);
        rig.platform.route("/plan/", "safe", "ledger").put("timeoutMs", 6_000);
        rig.platform.publish();
        int[] ports = Rig.freePorts(SERVERS);
        List<Process> servers = new ArrayList<>();
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(rig.java("UnframedServer", "s" + i, "" + ports[i]));
        }
        Rig.sleep(1_500);
        for (int i = 0; i < SERVERS; i++) {
            ids.add("s" + i);
            rig.register(ids.get(i), ports[i], "ledger", SLOTS);
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
        for (int round = 0; round < CRASHES; round++) {
            Rig.sleep(PAUSE_MILLIS);
            if (rig.trouble) {
                int crashed = round % SERVERS;
                rig.lapse(ids.get(crashed));
                rig.signal("KILL", servers.get(crashed));
                Rig.sleep(CRASH_MILLIS - START_MILLIS);
                ids.set(crashed, "s" + crashed + "-" + round);
                servers.set(crashed, rig.java("UnframedServer", ids.get(crashed), "" + ports[crashed]));
                Rig.sleep(START_MILLIS);
                rig.register(ids.get(crashed), ports[crashed], "ledger", SLOTS);
            }
        }
        Rig.sleep(PAUSE_MILLIS);
        stop = true;
        for (Thread client : clients) {
            client.join(8_000);
        }
        return rig.verdict(
                MIXED.get() > 0,
                MIXED + " successes with a part of the server's body, " + SERVED + " with the whole body, " + CUT
                        + " cut or without answer, " + OTHER + " other answers");
    }

    private static void client(Rig rig, Rig.Gateway gateway, int number) {
        for (int i = 0; !stop; i++) {
            String id = "c" + number + "-" + i;
            String path = "/plan/" + id;
            try (Rig.Client client = new Rig.Client(gateway.port())) {
                client.request("GET", path, id, 6_000, "", new byte[0]);
                Rig.Answer answer = client.read(8_000);
                boolean whole = answer.text().equals(UnframedServer.body(path));
                boolean success = answer.status() == 200 && answer.complete();
                rig.log(id + " sent to " + gateway.name() + ", answered " + answer.status() + (answer.complete() ? "" : ", cut")
                        + ", seal " + answer.header("X-Server-Seal") + ", " + answer.body().length + " bytes"
                        + (success && !whole ? " OF " + UnframedServer.body(path).length() + " IN A COMPLETE ANSWER" : ""));
                (success ? (whole ? SERVED : MIXED) : answer.complete() ? OTHER : CUT).incrementAndGet();
            } catch (IOException e) {
                CUT.incrementAndGet();
                rig.log(id + " sent to " + gateway.name() + ", not answered: " + e.getMessage());
                Rig.sleep(200);
            }
        }
    }
}
