package org.tanagerhinge.bench.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
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

/** Runs one random simulation; its seed determines the nodes, the traffic and the faults. */
final class Simulation {
    static final String MODEL = "tanager-8b";
    static final String SERVICE = "jobs";
    static final String KEY_HASH = KeyDigest.sha256Hex("sk-sim");

    private static final Duration TRAFFIC_DURATION = Duration.ofSeconds(45);
    private static final Duration SETTLE_DURATION = Duration.ofSeconds(45);
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(30);
    private static final int MAX_ATTEMPTS = 6;
    private static final int MAX_RESTORES = 3;
    private static final long MIN_COPY_AGE_MILLIS = 200;
    private static final long MAX_COPY_AGE_MILLIS = 8_000;
    private static final long MAX_REWRITE_DELAY_MILLIS = 2_000;
    private static final long MAX_REPEAT_DELAY_MILLIS = 8_000;
    private static final String[] DOMAINS = {"kita", "chuo", "higashi"};

    final VirtualTimeScheduler scheduler;
    final RandomGenerator random;
    final InvariantChecks checks = new InvariantChecks();
    final SimStore store = new SimStore(this);

    private final List<SimRouter> routers = new ArrayList<>();
    private final Map<ServerId, SimAgent> agents = new LinkedHashMap<>();
    private final Map<String, SimRequest> requests = new LinkedHashMap<>();
    private final Map<RequestId, SimCall> openCallsById = new LinkedHashMap<>();
    private final Map<SimRequest, Integer> openCallCounts = new LinkedHashMap<>();
    private final Map<String, Long> counts = new TreeMap<>();
    private final Set<String> partitions = new LinkedHashSet<>();
    private final FaultInjector faultInjector;
    /** Software versions of engines; the first stands for engines that state none. */
    static final List<String> SOFTWARE_VERSIONS = List.of("", "v1", "v2");

    private final Optional<SplittableRandom> restoreRandom;
    private final Optional<SplittableRandom> versionRandom;
    private final double requestsPerSecond;
    private double lossRate;
    private double duplicationRate;
    private long nextNumber;
    private int completeAnswers;

    Simulation(long seed, boolean logging) {
        this(seed, logging, Soak.Variant.NONE);
    }

    /** Creates a run in a variant; what it adds has a generator of its own, so that the other faults are as without. */
    Simulation(long seed, boolean logging, Soak.Variant variant) {
        this.scheduler = new VirtualTimeScheduler(logging);
        this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        this.requestsPerSecond = 5 + random.nextInt(40);
        this.faultInjector = new FaultInjector(this);
        this.restoreRandom = variant.restores() ? Optional.of(new SplittableRandom(~seed)) : Optional.empty();
        this.versionRandom =
                variant.softwareVersions() ? Optional.of(new SplittableRandom(seed * 31 + 7)) : Optional.empty();
    }

    /** Runs to the end; throws {@link SoakFailure} if an invariant is violated. */
    void run() {
        createNodes();
        faultInjector.schedule(TRAFFIC_DURATION);
        scheduleArrivals();
        restoreRandom.ifPresent(this::scheduleRestores);
        scheduler.runUntil(TRAFFIC_DURATION.plus(SETTLE_DURATION));
        checkAllAnswered();
        checkConfigurationConverged();
    }

    /** Draws the software version of an engine that starts; empty in runs without versions. */
    String drawSoftwareVersion() {
        return versionRandom
                .map(versions -> SOFTWARE_VERSIONS.get(1 + versions.nextInt(SOFTWARE_VERSIONS.size() - 1)))
                .orElseGet(SOFTWARE_VERSIONS::getFirst);
    }

    /** Schedules restores from a generator of their own, so that the other faults of a seed are as without them. */
    private void scheduleRestores(SplittableRandom restores) {
        int count = restores.nextInt(1, MAX_RESTORES + 1);
        for (int i = 0; i < count; i++) {
            Duration copyAt = Duration.ofMillis(restores.nextLong(TRAFFIC_DURATION.toMillis()));
            Duration age = Duration.ofMillis(restores.nextLong(MIN_COPY_AGE_MILLIS, MAX_COPY_AGE_MILLIS));
            Duration rewriteDelay = Duration.ofMillis(restores.nextLong(MAX_REWRITE_DELAY_MILLIS));
            scheduler.after(copyAt, () -> store.restoreAfter(age, rewriteDelay));
        }
    }

    private void createNodes() {
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

    private void scheduleArrivals() {
        if (scheduler.elapsed().compareTo(TRAFFIC_DURATION) > 0) {
            return;
        }
        double gapMillis = -Math.log(1 - random.nextDouble()) * 1000 / requestsPerSecond;
        scheduler.after(Duration.ofNanos((long) (gapMillis * 1e6)), () -> {
            startRequest();
            scheduleArrivals();
        });
    }

    private void startRequest() {
        long number = nextNumber++;
        int kind = random.nextInt(10);
        String profile = kind < 3 ? "card" : kind < 5 ? "chat" : kind < 6 ? "plan" : kind < 8 ? "status" : "bulk";
        boolean service = profile.equals("status");
        boolean idempotent = !service && !profile.equals("card");
        boolean keyed = !idempotent && chance(0.7);
        int length =
                1 + (int) Math.min(200, (profile.equals("plan") ? 60 : 15) * Math.exp(0.8 * random.nextGaussian()));
        SimRequest request = new SimRequest(number, profile, service, idempotent, keyed, length);
        startCall(request, 1);
        if (keyed && chance(0.1)) {
            scheduler.after(Duration.ofMillis(random.nextInt(2000)), () -> startCall(request, MAX_ATTEMPTS));
        }
    }

    void startCall(SimRequest request, int attempt) {
        List<SimRouter> acceptingRouters =
                routers.stream().filter(SimRouter::acceptsCalls).toList();
        if (acceptingRouters.isEmpty()) {
            return;
        }
        SimRouter router = acceptingRouters.get(random.nextInt(acceptingRouters.size()));
        RequestId id = RequestId.of("r" + request.number() + "-" + nextNumber++);
        requests.put(id.value(), request);
        SimCall call = new SimCall(this, request, router, id, attempt);
        openCallsById.put(id, call);
        openCallCounts.merge(request, 1, Integer::sum);
        router.startCall(call);
        scheduler.after(ANSWER_TIMEOUT, () -> checkAnswered(call));
        if (chance(0.03)) {
            scheduler.after(Duration.ofMillis(random.nextInt(1500)), call::disconnect);
        }
    }

    void callEnded(SimCall call, RunOutcome outcome) {
        openCallsById.remove(call.id());
        openCallCounts.merge(call.request(), -1, Integer::sum);
        call.request().reportedOutcomes(this, outcome, call.id());
        if (call.request().keyed()) {
            increment("keyed_call_" + outcome.label());
        }
        if (outcome == RunOutcome.COMPLETE) {
            completeAnswers++;
        } else if (outcome == RunOutcome.UNKNOWN && call.request().keyed() && call.attempt() < MAX_ATTEMPTS) {
            scheduler.after(Duration.ofMillis(300), () -> startCall(call.request(), call.attempt() + 1));
        } else if (outcome == RunOutcome.NOT_RUN && call.request().keyed() && call.attempt() < MAX_ATTEMPTS) {
            restoreRandom.ifPresent(restores -> repeatLater(call, restores));
        }
    }

    /** Repeats a refused keyed call, so that calls of a key arrive until long after a restore of the store. */
    private void repeatLater(SimCall call, SplittableRandom restores) {
        Duration delay = Duration.ofMillis(restores.nextLong(MAX_REPEAT_DELAY_MILLIS));
        scheduler.after(delay, () -> startCall(call.request(), call.attempt() + 1));
    }

    int openCallCount(SimRequest request) {
        return openCallCounts.getOrDefault(request, 0);
    }

    /** Checks that a call ends, within a second timeout in case its router is paused. */
    private void checkAnswered(SimCall call) {
        if (!call.ended() && scheduler.elapsed().compareTo(TRAFFIC_DURATION.plus(SETTLE_DURATION)) < 0) {
            scheduler.after(ANSWER_TIMEOUT, () -> {
                if (!call.ended()) {
                    checks.recordViolation(Invariant.WHOLE_ANSWER, call + " received no final result");
                }
            });
        }
    }

    private void checkAllAnswered() {
        checks.check(
                Invariant.WHOLE_ANSWER,
                openCallsById.isEmpty(),
                () -> "calls without a final result: " + openCallsById.values());
    }

    /** Checks that every node has the newest configuration once the faults are over. */
    private void checkConfigurationConverged() {
        try {
            ConfigRevision newest = store.documents().read().revision();
            for (SimRouter router : routers) {
                checks.check(
                        Invariant.CONFIG_FORWARD,
                        !router.core().revision().isBehind(newest),
                        () -> router + " is at revision " + router.core().revision() + ", behind " + newest);
            }
            for (SimAgent agent : agents.values()) {
                checks.check(
                        Invariant.CONFIG_FORWARD,
                        !agent.core().configRevision().isBehind(newest),
                        () -> agent + " is at revision " + agent.core().configRevision() + ", behind " + newest);
            }
        } catch (PlatformException | InvalidConfigException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- used by the simulated nodes, links and store

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

    void setMessageFaults(double lossProbability, double duplicationProbability) {
        lossRate = lossProbability;
        duplicationRate = duplicationProbability;
    }

    boolean losesMessage() {
        return lossRate > 0 && random.nextDouble() < lossRate;
    }

    boolean duplicatesMessage() {
        return duplicationRate > 0 && random.nextDouble() < duplicationRate;
    }

    void partition(String routerDomain, String agentDomain, Duration duration) {
        partitions.add(routerDomain + "|" + agentDomain);
        scheduler.after(duration, () -> partitions.remove(routerDomain + "|" + agentDomain));
    }

    boolean partitions(SimRouter router, SimAgent agent) {
        return partitions.contains(router.domain + "|" + agent.domain);
    }

    void increment(String reason) {
        counts.merge(reason, 1L, Long::sum);
    }

    /** Returns the events counted so far, and how many keyed requests started and were answered in any of their calls. */
    Map<String, Long> counts() {
        Map<String, Long> all = new TreeMap<>(counts);
        List<SimRequest> keyed =
                requests.values().stream().filter(SimRequest::keyed).distinct().toList();
        all.put("keyed_request", (long) keyed.size());
        all.put(
                "keyed_request_started",
                keyed.stream().filter(SimRequest::started).count());
        all.put(
                "keyed_request_answered",
                keyed.stream().filter(request -> request.completeAnswers() > 0).count());
        return all;
    }

    long faultsInjected() {
        return faultInjector.injectedFaults();
    }

    int completeAnswers() {
        return completeAnswers;
    }

    long requestCount() {
        return requests.size();
    }

    static String describe(Frame frame) {
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
