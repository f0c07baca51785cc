import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.tanagerhinge.standin.relay.RawServer;

/**
 * The operator takes the keys of the deployment's tenant away, one after the other. Counts the requests that run with a
 * key that no configuration ever held, without any key, or with a key that was taken away long before.
 */
final class KeysCase {
    private static final long WORK_MILLIS = 86;
    private static final long CONFIG_APPLY_MILLIS = 2_000;
    private static final long GAP_MILLIS = 1_500;
    private static final int ROUNDS = 20;

    private static final Map<String, String> RUNS = new ConcurrentHashMap<>();

    private KeysCase() {}

    public static void main(String[] words) {
        Rig.play(words[0], KeysCase::run);
    }

    private static void configure(Rig rig, int version, String keys) {
        rig.store.put(
                "op/config",
                "{\"version\":" + version + ",\"routes\":[{\"name\":\"r1\",\"hostname\":\"" + Rig.HOST
                        + "\",\"prefix\":\"/job/\",\"routeType\":\"unsafe\",\"timeoutMs\":4000,\"targetLatencyMs\":300,"
                        + "\"priority\":2,\"service\":\"ledger\",\"maxAttempts\":1,\"public\":false,\"sticky\":false,"
                        + "\"resumable\":false}],\"services\":[{\"name\":\"ledger\",\"healthPath\":\"/health\","
                        + "\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
                        + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\""
                        + Rig.TENANT + "\",\"apiKeys\":[" + keys + "],\"priority\":1}]}");
        rig.log("version " + version + " is acknowledged, keys of the tenant: [" + keys + "]");
    }

    private static int run(Rig rig) throws Exception {
        configure(rig, 7, "\"key1\",\"key2\"");
        for (int i = 0; i < 3; i++) {
            String id = "s" + i;
            RawServer server = RawServer.start(0, (request, connection) -> {
                String attempt = request.header("X-Attempt-Id");
                if (!request.header("X-Expect-Instance").equals(id)) {
                    connection.answer(421, "X-Instance-Id: " + id + "\r\n", "");
                    return;
                }
                RUNS.put(attempt, "ran at " + id + ", X-Tenant '" + request.header("X-Tenant") + "'");
                Thread.sleep(WORK_MILLIS);
                connection.answer(
                        200, "X-Attempt-Id: " + attempt + "\r\nX-Server-Seal: seal-of-" + id + "\r\n", "status of " + attempt + "\n");
            });
            rig.register(id, server.address().getPort(), "ledger", 6);
        }
        Rig.Gateway first = rig.gateway("front-1");
        Rig.Gateway second = rig.gateway("front-2");
        rig.awaitReady(first);
        rig.awaitReady(second);
        Rig.sleep(2_000);
        int early = send(rig, "before", first, second);
        configure(rig, 9, rig.trouble ? "\"key2\"" : "\"key1\",\"key2\"");
        Rig.sleep(GAP_MILLIS);
        configure(rig, 12, rig.trouble ? "" : "\"key1\",\"key2\"");
        Rig.sleep(CONFIG_APPLY_MILLIS + 3_000);
        int late = send(rig, "after", first, second);
        return rig.verdict(
                early + late > 0,
                early + " requests ran before the keys were taken away, and " + late
                        + " after it, with a key that was never there, without one, or with one that was taken away");
    }

    /** Sends requests with several keys, and returns how many ran that must not. */
    private static int send(Rig rig, String when, Rig.Gateway... gateways) {
        int wrong = 0;
        Map<String, Integer> answers = new TreeMap<>();
        for (int i = 0; i < ROUNDS; i++) {
            for (String key : new String[] {"key1", "key2", "never-held", ""}) {
                Rig.Gateway gateway = gateways[i % gateways.length];
                String id = when + "-" + (key.isEmpty() ? "no-key" : key) + "-" + i;
                String result;
                try (Rig.Client client = new Rig.Client(gateway.port())) {
                    client.send(
                            "POST /job/" + id + " HTTP/1.1\r\nHost: " + Rig.HOST + "\r\nX-Attempt-Id: " + id
                                    + "\r\nX-Deadline-Ms: 4000\r\n" + (key.isEmpty() ? "" : "Authorization: Token " + key + "\r\n")
                                    + "Content-Length: 3\r\n\r\n",
                            "job".getBytes());
                    result = "" + client.read(6_000).status();
                } catch (IOException e) {
                    result = "no answer: " + e.getMessage();
                }
                String run = RUNS.getOrDefault(id, "not run");
                rig.log(id + " sent to " + gateway.name() + ", answered " + result + ", " + run);
                boolean held = key.startsWith("key") && (when.equals("before") || !rig.trouble);
                wrong += !held && RUNS.containsKey(id) ? 1 : 0;
                answers.merge((key.isEmpty() ? "no key" : key) + " " + result, 1, Integer::sum);
            }
        }
        rig.log(when + ": " + answers);
        return wrong;
    }
}
