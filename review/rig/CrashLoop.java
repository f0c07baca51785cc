import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** All model servers crash together, come back, and crash together once more; then they run well. */
final class CrashLoop {
    private static final int SERVERS = 3;
    private static final int SLOTS = 48;
    private static final long DOWN_MILLIS = 4_500;
    /** Time from the start of a server until it is registered. */
    private static final long REGISTERED_MILLIS = 800;
    /** A crashed server's entry is removed after three heartbeat intervals of 1,200 ms. */
    private static final long ENTRY_MILLIS = 3_600;
    /** Time from the first request of a server that comes back until it crashes. */
    private static final long SECOND_CRASH_MILLIS = 300;

    private static final int CALLERS = 18;
    private static final long CALM_MILLIS = 15_000;
    private static final long JUDGED_MILLIS = 15_000;

    private CrashLoop() {}

    public static void main(String[] args) throws Exception {
        CaseRig.play(args, CrashLoop::run);
    }

    private static int run(CaseRig rig) throws Exception {
        rig.startServer("i-plain", "wuno96b", 6, 40);
        List<Process> servers = start(rig, "i-first-", 0);
        String first = CaseRig.route("/puxa403/", "safe", "wuno96b", 2_000, ",\"public\":true");
        String services = CaseRig.service("wuno96b") + ","
                + CaseRig.service("huvo11a")
                        .replace(
                                "}",
                                ",\"engine\":{\"slots\":48,\"kvCapacityTokens\":335900,\"kvTokenBytes\":163840,"
                                        + "\"linkMbps\":740000.0,\"models\":[{\"name\":\"m\"}]}}");
        rig.configure(7, first, services, "");
        List<CaseRig.Gateway> gateways =
                List.of(rig.startGateway("front-kita-hall-1", Map.of()), rig.startGateway("front-chuo-hall-1", Map.of()));
        Thread.sleep(1_000);
        String added = CaseRig.route("/lohu930/", "streaming", "huvo11a", 6_000, ",\"public\":true,\"targetGapMs\":200")
                .replace("\"sticky\":false", "\"sticky\":true")
                .replace("\"resumable\":false", "\"resumable\":true")
                .replace("\"maxAttempts\":1", "\"maxAttempts\":2");
        rig.configure(12, first + "," + added, services, "");
        Thread.sleep(2_500);
        Tally tally = new Tally(rig);
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int caller = i;
            callers.add(Thread.ofPlatform().start(() -> tally.draft(gateways.get(caller % 2), "d" + caller)));
        }
        for (int i = 0; i < 2; i++) {
            int caller = i;
            callers.add(Thread.ofPlatform().start(() -> tally.fetch(gateways.get(caller), "f" + caller)));
        }
        Thread.sleep(8_000);
        if (rig.trouble) {
            rig.log("all model servers crash");
            signal("-STOP", servers);
            signal("-KILL", servers);
            for (int i = 0; i < SERVERS; i++) {
                rig.crashed("i-first-" + i);
            }
            servers = comeBack(rig, "i-first-", "i-second-", SECOND_CRASH_MILLIS);
            for (Process server : servers) {
                server.waitFor();
            }
            for (int i = 0; i < SERVERS; i++) {
                rig.crashed("i-second-" + i);
            }
            rig.log("all model servers have crashed once more");
            comeBack(rig, "i-second-", "i-third-", 0);
            rig.log("all model servers are back and run well from here on");
        }
        Thread.sleep(CALM_MILLIS);
        tally.judged = true;
        rig.log("judged from here on");
        Thread.sleep(JUDGED_MILLIS);
        tally.judged = false;
        tally.stop = true;
        for (Thread caller : callers) {
            caller.join();
        }
        double servedFirst = tally.share("/puxa403/");
        double servedAdded = tally.share("/lohu930/");
        rig.log("judged requests and answers: " + tally.counts);
        rig.log("share served on the first route " + servedFirst + ", on the route added later " + servedAdded);
        if (tally.sent("/lohu930/") < 20 || servedFirst < 0.5) {
            return CaseRig.COULD_NOT_RUN;
        }
        return servedAdded < servedFirst / 4 ? CaseRig.BROKEN : CaseRig.HELD;
    }

    private static List<Process> start(CaseRig rig, String name, long crashAfterMillis) throws Exception {
        List<Process> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(rig.startServer("StreamServer", name + i, "huvo11a", SLOTS, crashAfterMillis));
        }
        return servers;
    }

    /** Removes the entries of crashed servers and starts new ones, each at its time after the crash. */
    private static List<Process> comeBack(CaseRig rig, String crashed, String name, long crashAfterMillis)
            throws Exception {
        Thread.sleep(ENTRY_MILLIS);
        for (int i = 0; i < SERVERS; i++) {
            rig.store.remove("servers/" + crashed + i);
        }
        Thread.sleep(DOWN_MILLIS - ENTRY_MILLIS + REGISTERED_MILLIS);
        return start(rig, name, crashAfterMillis);
    }

    private static void signal(String signal, List<Process> servers) throws Exception {
        List<String> command = new ArrayList<>(List.of("kill", signal));
        servers.forEach(server -> command.add(Long.toString(server.pid())));
        new ProcessBuilder(command).inheritIO().start().waitFor();
    }

    /** Counts what callers got in the judged time. */
    private static final class Tally {
        private final CaseRig rig;
        private final Map<String, AtomicInteger> counts = new ConcurrentHashMap<>();
        private volatile boolean judged;
        private volatile boolean stop;

        Tally(CaseRig rig) {
            this.rig = rig;
        }

        /** Asks for drafts whose prompts share their system prompt and differ in the rest. */
        void draft(CaseRig.Gateway gateway, String caller) {
            Random random = new Random(caller.hashCode());
            for (int i = 0; !stop; i++) {
                Map<String, String> more = new LinkedHashMap<>();
                more.put("X-Model", "m");
                more.put("X-Token-Count", "1460,60");
                more.put("X-Prompt-Prefix", "5c1e07a2:350," + Integer.toHexString(random.nextInt()) + ":1110");
                ask(gateway, caller + "-" + i, "POST", "/lohu930/2f", more, "prompt " + caller + "-" + i, 300);
            }
        }

        void fetch(CaseRig.Gateway gateway, String caller) {
            for (int i = 0; !stop; i++) {
                ask(gateway, caller + "-" + i, "GET", "/puxa403/plan-" + caller + "-" + i, Map.of(), "", 100);
            }
        }

        private void ask(
                CaseRig.Gateway gateway,
                String id,
                String method,
                String path,
                Map<String, String> more,
                String body,
                long pauseMillis) {
            boolean counted = judged;
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Host", "ficu95.example");
            headers.put("X-Attempt-Id", id);
            headers.put("X-Deadline-Ms", "6000");
            headers.putAll(more);
            String what = "0";
            String retryAfter = "";
            try {
                CaseRig.Answer answer = CaseRig.call(gateway.port(), method, path, headers, body.getBytes(), 7_000);
                what = answer.status() + (answer.complete() ? "" : " cut off");
                retryAfter = answer.headers().getOrDefault("retry-after", "");
            } catch (Exception e) {
                // 0 stands for no answer.
            }
            rig.log("client got " + what + " for " + id + (retryAfter.isEmpty() ? "" : ", Retry-After " + retryAfter));
            if (counted) {
                counts.computeIfAbsent(
                                path.substring(0, path.indexOf('/', 1) + 1) + " " + what, key -> new AtomicInteger())
                        .incrementAndGet();
            }
            try {
                Thread.sleep(pauseMillis);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        int sent(String route) {
            return counts.entrySet().stream()
                    .filter(entry -> entry.getKey().startsWith(route))
                    .mapToInt(entry -> entry.getValue().get())
                    .sum();
        }

        double share(String route) {
            AtomicInteger served = counts.get(route + " 200");
            return served == null ? 0 : served.get() / (double) sent(route);
        }
    }
}
