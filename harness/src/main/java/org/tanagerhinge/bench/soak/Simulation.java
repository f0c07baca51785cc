package org.tanagerhinge.bench.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.tanagerhinge.core.agent.Run;
import org.tanagerhinge.core.config.BackendServer;
import org.tanagerhinge.core.config.ConfigJson;
import org.tanagerhinge.core.config.ConfigRevision;
import org.tanagerhinge.core.config.DesiredServerState;
import org.tanagerhinge.core.config.InvalidConfigException;
import org.tanagerhinge.core.config.ServerKind;
import org.tanagerhinge.core.id.FailureDomain;
import org.tanagerhinge.core.id.KeyDigest;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.id.TargetName;
import org.tanagerhinge.core.invariant.Invariant;
import org.tanagerhinge.core.message.Frame;
import org.tanagerhinge.core.result.RunOutcome;
import org.tanagerhinge.node.platform.PlatformException;

/** One random run: a seed makes the set-up, the traffic and the faults, the same each time. */
final class Simulation {
    static final String MODEL = "tanager-8b";
    static final String SERVICE = "jobs";
    static final String KEY_HASH = KeyDigest.sha256Hex("sk-sim");

    private static final Duration TRAFFIC = Duration.ofSeconds(45);
    private static final Duration SETTLE = Duration.ofSeconds(45);
    private static final Duration LONGEST_CALL = Duration.ofSeconds(30);
    private static final int MOST_TRIES = 6;
    private static final String[] DOMAINS = {"kita", "chuo", "higashi"};

    final Timeline timeline;
    final RandomGenerator random;
    final Checks checks = new Checks();
    final SimStore store = new SimStore(this);

    private final List<SimRouter> routers = new ArrayList<>();
    private final Map<ServerId, SimAgent> agents = new LinkedHashMap<>();
    private final Map<String, SimRequest> requests = new LinkedHashMap<>();
    private final Map<RequestId, SimCall> open = new LinkedHashMap<>();
    private final Map<SimRequest, Integer> openCalls = new LinkedHashMap<>();
    private final Map<String, Long> counts = new TreeMap<>();
    private final Set<String> apart = new LinkedHashSet<>();
    private final Faults faults;
    private final double load;
    private double lossRate;
    private double doubleRate;
    private long numbers;
    private int wholeAnswers;

    Simulation(long seed, boolean logging) {
        this.timeline = new Timeline(logging);
        this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        this.load = 5 + random.nextInt(40);
        this.faults = new Faults(this);
    }

    /** Runs to the end; throws {@link SoakFailure} if a promise is broken. */
    void run() {
        setUp();
        faults.schedule(TRAFFIC);
        arrive();
        timeline.runUntil(TRAFFIC.plus(SETTLE));
        checkEverythingAnswered();
        checkConfigurationInForce();
    }

    private void setUp() {
        int engines = 3 + random.nextInt(4);
        int services = 1 + random.nextInt(2);
        try {
            store.documents().editProfiles(0, before -> profiles());
            for (int i = 0; i < engines + services; i++) {
                boolean service = i >= engines;
                String name = (service ? "service-" : "engine-") + i;
                SimAgent agent = new SimAgent(this, name, DOMAINS[i % DOMAINS.length]);
                agents.put(ServerId.of(name), agent);
                BackendServer server = new BackendServer(
                        ServerId.of(name),
                        "127.0.0.1:" + (7000 + i),
                        FailureDomain.of(agent.domain),
                        service ? ServerKind.SERVICE : ServerKind.MODEL,
                        Set.of(TargetName.of(service ? SERVICE : MODEL)),
                        DesiredServerState.SERVING);
                store.documents().editServers(i, document -> document.withServer(server));
            }
        } catch (PlatformException | InvalidConfigException e) {
            throw new IllegalStateException(e);
        }
        int routerCount = 2 + random.nextInt(3);
        for (int i = 0; i < routerCount; i++) {
            routers.add(new SimRouter(this, "router-" + i, DOMAINS[i % DOMAINS.length]));
        }
        agents.values().forEach(SimNode::start);
        routers.forEach(SimNode::start);
    }

    private static org.tanagerhinge.core.config.ProfilesDocument profiles() {
        try {
            return ConfigJson.parseProfiles("""
                    {"profiles": [
                     {"name": "card", "tier": 1, "idempotent": false, "deadlineMillis": 15000, "sharePercent": 20},
                     {"name": "chat", "tier": 2, "idempotent": true, "deadlineMillis": 10000, "sharePercent": 20},
                     {"name": "plan", "tier": 3, "idempotent": true, "deadlineMillis": 25000, "sharePercent": 10},
                     {"name": "status", "tier": 2, "idempotent": false, "deadlineMillis": 8000, "sharePercent": 20},
                     {"name": "bulk", "tier": 6, "idempotent": true, "deadlineMillis": 20000, "queueBound": 10}],
                     "workspaces": [{"name": "sim", "keySha256": ["%s"]}]}
                    """.formatted(KEY_HASH));
        } catch (InvalidConfigException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- traffic

    private void arrive() {
        if (timeline.elapsed().compareTo(TRAFFIC) > 0) {
            return;
        }
        double gapMillis = -Math.log(1 - random.nextDouble()) * 1000 / load;
        timeline.after(Duration.ofNanos((long) (gapMillis * 1e6)), () -> {
            newRequest();
            arrive();
        });
    }

    private void newRequest() {
        long number = numbers++;
        int kind = random.nextInt(10);
        String profile = kind < 3 ? "card" : kind < 5 ? "chat" : kind < 6 ? "plan" : kind < 8 ? "status" : "bulk";
        boolean service = profile.equals("status");
        boolean idempotent = !service && !profile.equals("card");
        boolean keyed = !idempotent && chance(0.7);
        int length =
                1 + (int) Math.min(200, (profile.equals("plan") ? 60 : 15) * Math.exp(0.8 * random.nextGaussian()));
        SimRequest request = new SimRequest(number, profile, service, idempotent, keyed, length);
        call(request, 1);
        if (keyed && chance(0.1)) {
            timeline.after(Duration.ofMillis(random.nextInt(2000)), () -> call(request, MOST_TRIES));
        }
    }

    void call(SimRequest request, int tries) {
        List<SimRouter> takers = routers.stream().filter(SimRouter::takesCalls).toList();
        if (takers.isEmpty()) {
            return;
        }
        SimRouter router = takers.get(random.nextInt(takers.size()));
        RequestId id = RequestId.of("r" + request.number() + "-" + numbers++);
        requests.put(id.value(), request);
        SimCall call = new SimCall(this, request, router, id, tries);
        open.put(id, call);
        openCalls.merge(request, 1, Integer::sum);
        router.call(call);
        timeline.after(LONGEST_CALL, () -> checkAnswered(call));
        if (chance(0.03)) {
            timeline.after(Duration.ofMillis(random.nextInt(1500)), call::hangUp);
        }
    }

    void ended(SimCall call, RunOutcome run) {
        open.remove(call.id());
        openCalls.merge(call.request(), -1, Integer::sum);
        call.request().told(this, run, call.id());
        if (run == RunOutcome.COMPLETE) {
            wholeAnswers++;
        } else if (run == RunOutcome.UNKNOWN && call.request().keyed() && call.tries() < MOST_TRIES) {
            timeline.after(Duration.ofMillis(300), () -> call(call.request(), call.tries() + 1));
        }
    }

    int callsOpen(SimRequest request) {
        return openCalls.getOrDefault(request, 0);
    }

    /** A caller must not be left without any word; its router has at the most been paused for a while. */
    private void checkAnswered(SimCall call) {
        if (!call.ended() && timeline.elapsed().compareTo(TRAFFIC.plus(SETTLE)) < 0) {
            timeline.after(LONGEST_CALL, () -> {
                if (!call.ended()) {
                    checks.recordViolation(Invariant.WHOLE_ANSWER, call + " was never answered");
                }
            });
        }
    }

    private void checkEverythingAnswered() {
        checks.check(Invariant.WHOLE_ANSWER, open.isEmpty(), () -> "calls without any answer: " + open.values());
    }

    /** Once faults are over, every node must have the newest documents. */
    private void checkConfigurationInForce() {
        try {
            ConfigRevision newest = store.documents().read().revision();
            for (SimRouter router : routers) {
                checks.check(
                        Invariant.CONFIG_FORWARD,
                        !router.core().revision().isBehind(newest),
                        () -> router + " is at " + router.core().revision() + ", not " + newest);
            }
            for (SimAgent agent : agents.values()) {
                checks.check(
                        Invariant.CONFIG_FORWARD,
                        !agent.core().configRevision().isBehind(newest),
                        () -> agent + " is at " + agent.core().configRevision() + ", not " + newest);
            }
        } catch (PlatformException | InvalidConfigException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- for the fakes

    List<SimRouter> routers() {
        return routers;
    }

    List<SimAgent> agents() {
        return List.copyOf(agents.values());
    }

    SimAgent agent(ServerId id) {
        return agents.get(id);
    }

    SimRequest requestOf(Run run) {
        return requests.get(run.submit().request().value());
    }

    boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    Duration latency() {
        return Duration.ofNanos((long) ((0.3 + random.nextDouble() * 2) * 1e6));
    }

    void messageFaults(double loss, double doubling) {
        lossRate = loss;
        doubleRate = doubling;
    }

    boolean loses() {
        return lossRate > 0 && random.nextDouble() < lossRate;
    }

    boolean doubles() {
        return doubleRate > 0 && random.nextDouble() < doubleRate;
    }

    void separate(String left, String right, Duration length) {
        apart.add(left + "|" + right);
        timeline.after(length, () -> apart.remove(left + "|" + right));
    }

    boolean apart(SimRouter router, SimAgent agent) {
        return apart.contains(router.domain + "|" + agent.domain);
    }

    void counted(String reason) {
        counts.merge(reason, 1L, Long::sum);
    }

    Map<String, Long> counts() {
        return counts;
    }

    long faultsInjected() {
        return faults.injected();
    }

    int wholeAnswers() {
        return wholeAnswers;
    }

    long requestCount() {
        return requests.size();
    }

    static String brief(Frame frame) {
        return switch (frame) {
            case Frame.Submit submit ->
                "submit " + submit.attempt() + " of " + submit.request() + " execution " + submit.execution();
            case Frame.Chunk chunk -> "chunk " + chunk.attempt() + " at " + chunk.offsetUnits();
            case Frame.LoadReport report -> "load " + report.load().accepting();
            case Frame.ConfigPush push -> "config " + push.config().revision();
            default -> frame.toString();
        };
    }
}
