import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The keys of the only tenant are taken away one after the other. */
final class LastKeys {
    private static final long CONFIG_APPLY_MILLIS = 2_000;

    private LastKeys() {}

    public static void main(String[] args) throws Exception {
        Rig.play(args, LastKeys::run);
    }

    private static int run(Rig rig) throws Exception {
        Map<String, String> tenantByRun = new ConcurrentHashMap<>();
        int port = Rig.serve((socket, in, out) -> {
            for (Rig.Head head = Rig.readHead(in); head != null; head = Rig.readHead(in)) {
                Rig.exactly(in, head.length());
                tenantByRun.put(head.id(), head.headers().getOrDefault("x-tenant", "(none)"));
                rig.log("server runs " + head.id() + " for tenant " + tenantByRun.get(head.id()));
                out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + head.id()
                                + "\r\nX-Server-Seal: 3e1b.07\r\nContent-Length: 6\r\n\r\nrecord")
                        .getBytes());
            }
        });
        rig.register("i-7f3a91c2", "huvo11a", port, 6);
        configure(rig, 7, List.of("xd9dnn2ctnfzs989anu6", "wsjnbanfqasnmgkcuyj8"), 2_000);
        Rig.Gateway gateway = rig.startGateway("front-kita-hall-1", Map.of());
        Set<String> sound = Set.of("xd9dnn2ctnfzs989anu6", "wsjnbanfqasnmgkcuyj8");
        for (String key : sound) {
            if (send(rig, gateway, "before-" + key, key).status() != 200) {
                rig.log("a request with a key in force was not served");
                return Rig.COULD_NOT_RUN;
            }
        }
        if (send(rig, gateway, "before-unknown", "neverheld0neverheld0").status() != 401) {
            rig.log("a request with an unknown key was not refused");
            return Rig.COULD_NOT_RUN;
        }
        configure(rig, 12, List.of("wsjnbanfqasnmgkcuyj8"), 2_000);
        Thread.sleep(1_500);
        // Without the disruption the tenant keeps its last key, and only a timeout changes.
        configure(rig, 15, rig.trouble ? List.of() : List.of("wsjnbanfqasnmgkcuyj8"), 2_500);
        Thread.sleep(2 * CONFIG_APPLY_MILLIS);
        List<String> mustNotRun = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            send(rig, gateway, "after-first-key-" + i, "xd9dnn2ctnfzs989anu6");
            mustNotRun.add("after-first-key-" + i);
            send(rig, gateway, "after-unknown-" + i, "neverheld0neverheld0");
            mustNotRun.add("after-unknown-" + i);
            send(rig, gateway, "after-last-key-" + i, "wsjnbanfqasnmgkcuyj8");
            if (rig.trouble) {
                mustNotRun.add("after-last-key-" + i);
            }
        }
        List<String> ran = mustNotRun.stream().filter(tenantByRun::containsKey).toList();
        rig.log("of " + mustNotRun.size() + " requests whose key no configuration in force holds, ran: " + ran);
        return ran.isEmpty() ? Rig.HELD : Rig.BROKEN;
    }

    private static void configure(Rig rig, long version, List<String> keys, int timeoutMillis) {
        rig.configure(
                version,
                Rig.route("/pule252/", "unsafe", "huvo11a", timeoutMillis, ",\"public\":false"),
                Rig.service("huvo11a"),
                "{\"name\":\"huka270\",\"apiKeys\":["
                        + String.join(",", keys.stream().map(key -> '"' + key + '"').toList()) + "],\"priority\":1}");
    }

    private static Rig.Answer send(Rig rig, Rig.Gateway gateway, String id, String key) throws Exception {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "ficu95.example");
        headers.put("X-Attempt-Id", id);
        headers.put("X-Deadline-Ms", "3000");
        headers.put("Authorization", "Token " + key);
        rig.log("client sends " + id + " with key " + key);
        Rig.Answer answer =
                Rig.call(gateway.port(), "POST", "/pule252/2f", headers, "status".getBytes(), 4_000);
        rig.log("client got " + answer.status() + " for " + id);
        return answer;
    }
}
