import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** All servers of a service crash together while they run the same safe request for several callers. */
final class AllCrashed {
    private static final int SERVERS = 3;
    private static final int SLOTS = 6;
    private static final long WORK_MILLIS = 85;
    private static final long DOWN_MILLIS = 4_000;
    /** A crashed server's entry is removed after three heartbeat intervals of 1,200 ms. */
    private static final long ENTRY_MILLIS = 3_600;

    private static final int POLLERS = 12;
    /** Time from the servers' return to what is judged; far more than contactMs and recoveryS. */
    private static final long CALM_MILLIS = 15_000;

    private static final long JUDGED_MILLIS = 15_000;

    private AllCrashed() {}

    public static void main(String[] args) throws Exception {
        CaseRig.play(args, AllCrashed::run);
    }

    private static int run(CaseRig rig) throws Exception {
        List<Process> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(rig.startServer("i-first-" + i, "wuno96b", SLOTS, WORK_MILLIS));
        }
        String first = CaseRig.route("/puxa403/", "safe", "wuno96b", 2_000, ",\"public\":true");
        rig.configure(7, first, CaseRig.service("wuno96b"), "");
        List<CaseRig.Gateway> gateways =
                List.of(rig.startGateway("front-kita-hall-1", Map.of()), rig.startGateway("front-chuo-hall-1", Map.of()));
        Thread.sleep(1_000);
        String added = CaseRig.route("/lohu930/", "safe", "wuno96b", 2_000, ",\"public\":true");
        rig.configure(12, first + "," + added, CaseRig.service("wuno96b"), "");
        Thread.sleep(2_500);
        Tally tally = new Tally(rig);
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < POLLERS; i++) {
            int caller = i;
            callers.add(Thread.ofPlatform()
                    .start(() -> tally.poll(gateways.get(caller % 2), "p" + caller, "/lohu930/status", false)));
            if (i < 2) {
                callers.add(Thread.ofPlatform()
                        .start(() -> tally.poll(gateways.get(caller % 2), "o" + caller, "/puxa403/plan-", true)));
            }
        }
        Thread.sleep(3_000);
        if (rig.trouble) {
            rig.log("all servers of the service crash");
            signal("-STOP", servers);
            signal("-KILL", servers);
            for (int i = 0; i < SERVERS; i++) {
                rig.crashed("i-first-" + i);
            }
            Thread.sleep(ENTRY_MILLIS);
            for (int i = 0; i < SERVERS; i++) {
                rig.store.remove("servers/i-first-" + i);
            }
            Thread.sleep(DOWN_MILLIS - ENTRY_MILLIS);
            for (int i = 0; i < SERVERS; i++) {
                rig.startServer("i-second-" + i, "wuno96b", SLOTS, WORK_MILLIS);
            }
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

    /** Sends a signal to all servers; stopped ones end at the same moment, none answers in between. */
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

        /** Asks again and again, at most ten times a second; {@code distinct}: for another thing each time. */
        void poll(CaseRig.Gateway gateway, String caller, String path, boolean distinct) {
            for (int i = 0; !stop; i++) {
                String id = caller + "-" + i;
                boolean counted = judged;
                Map<String, String> headers = new LinkedHashMap<>();
                headers.put("Host", "ficu95.example");
                headers.put("X-Attempt-Id", id);
                headers.put("X-Deadline-Ms", "2000");
                String target = distinct ? path + id : path;
                int status = 0;
                String retryAfter = "";
                try {
                    CaseRig.Answer answer = CaseRig.call(gateway.port(), "GET", target, headers, new byte[0], 3_000);
                    status = answer.status();
                    retryAfter = answer.headers().getOrDefault("retry-after", "");
                } catch (Exception e) {
                    // Status 0 stands for no answer.
                }
                rig.log("client got " + status + " for " + id + " " + target
                        + (retryAfter.isEmpty() ? "" : ", Retry-After " + retryAfter));
                if (counted) {
                    count(target.substring(0, target.indexOf('/', 1) + 1) + " " + status);
                }
                sleep(status == 200 ? 15 : 100);
            }
        }

        private void count(String what) {
            counts.computeIfAbsent(what, key -> new AtomicInteger()).incrementAndGet();
        }

        private static void sleep(long millis) {
            try {
                Thread.sleep(millis);
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
