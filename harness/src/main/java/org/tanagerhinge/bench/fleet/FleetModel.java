package org.tanagerhinge.bench.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import org.tanagerhinge.core.relay.CallerLimits;
import org.tanagerhinge.core.relay.Mechanism;
import org.tanagerhinge.core.relay.Prompt;
import org.tanagerhinge.core.relay.PromptPart;
import org.tanagerhinge.core.relay.RelayConfig;
import org.tanagerhinge.core.relay.Route;
import org.tanagerhinge.core.relay.RouteKind;
import org.tanagerhinge.core.relay.WeightedService;
import org.tanagerhinge.core.relay.WorkspaceConfig;

/** Runs a discrete-event simulation of a fleet scenario; the same seed gives the same events in the same order. */
public final class FleetModel {
    /** A prefill of a shared part within this time after its last use counts as repeated. */
    private static final double REUSE_WINDOW_MILLIS = 10_000;
    /** Exponent of the Zipf distribution of the shared parts in requests. */
    private static final double ZIPF_EXPONENT = 0.3;

    private static final double SAMPLE_INTERVAL_MILLIS = 100;
    private static final String PREFERRED = "preferred";
    private static final String OTHERS = "others";

    private final FleetScenario scenario;
    private final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<ModelGateway> gateways = new ArrayList<>();
    private final Map<String, EngineModel> engines = new LinkedHashMap<>();
    private final Map<String, Route> routes = new HashMap<>();
    private final Map<String, int[]> partSizes = new HashMap<>();
    private final Map<String, double[]> cumulativePartWeights = new HashMap<>();
    private final Map<String, Double> lastUseMillisByPart = new HashMap<>();
    private final FleetResult result;
    private final RelayConfig config;
    private final CallerModel callers;
    private double nowMillis;
    private long nextEventNumber;
    private long nextSequenceNumber;
    long prefilledTokens;
    long fetchedTokens;
    long rejectedOffers;
    long preempted;
    long preemptedBesideLessUrgent;

    private FleetModel(FleetScenario scenario, long seed, Set<Mechanism> disabledMechanisms) {
        this.scenario = scenario;
        this.random = new Random(seed);
        this.result = FleetResult.of(scenario);
        SplittableRandom hostRandom = new SplittableRandom(seed);
        for (int i = 0; i < scenario.engines(); i++) {
            HostModel host = new HostModel(scenario.hosts(), i, hostRandom.split());
            engines.put(engineId(i), new EngineModel(engineId(i), scenario.engine(), host, this));
        }
        for (RequestKind kind : scenario.kinds()) {
            routes.put(
                    kind.name(),
                    new Route(
                            kind.name(),
                            "h",
                            "/" + kind.name() + "/",
                            RouteKind.STREAM,
                            kind.resumable(),
                            List.of(new WeightedService("model", 1)),
                            2,
                            kind.timeoutMillis(),
                            kind.firstEventTargetMillis(),
                            kind.maxGapMillis(),
                            kind.rank(),
                            true,
                            true));
            for (int i = 0; i < kind.sharedParts().size(); i++) {
                drawParts(kind.name() + i, kind.sharedParts().get(i));
            }
        }
        this.callers = new CallerModel(scenario.callers(), new SplittableRandom(~seed));
        Map<String, WorkspaceConfig> workspaces = scenario.preferredShare() <= 0
                ? callers.workspaces()
                : Map.of(
                        PREFERRED, new WorkspaceConfig(PREFERRED, OptionalInt.of(0)),
                        OTHERS, new WorkspaceConfig(OTHERS, OptionalInt.of(1)));
        this.config = RelayConfig.of(1, List.copyOf(routes.values()), List.of(), workspaces, CallerLimits.DEFAULT);
        for (int i = 0; i < scenario.gateways(); i++) {
            gateways.add(new ModelGateway("g" + i, this, scenario, disabledMechanisms));
        }
    }

    /**
     * Runs a scenario to its end and returns the result.
     *
     * @param disabledMechanisms mechanisms that are disabled in the gateways
     */
    public static FleetResult simulate(FleetScenario scenario, long seed, Set<Mechanism> disabledMechanisms) {
        FleetModel model = new FleetModel(scenario, seed, disabledMechanisms);
        model.run();
        return model.result;
    }

    static String engineId(int number) {
        return String.format(Locale.ROOT, "e%03d", number);
    }

    private record Event(double atMillis, long order, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    double nowMillis() {
        return nowMillis;
    }

    Random random() {
        return random;
    }

    void scheduleAt(double timeMillis, Runnable task) {
        events.add(new Event(timeMillis, nextEventNumber++, task));
    }

    List<ModelGateway> gateways() {
        return gateways;
    }

    EngineModel engine(String id) {
        return engines.get(id);
    }

    Route route(RequestKind kind) {
        return routes.get(kind.name());
    }

    long nextSequence() {
        return nextSequenceNumber++;
    }

    RelayConfig config() {
        return config;
    }

    boolean preemptsForSlots() {
        return scenario.preemptsForSlots();
    }

    private Optional<WorkspaceConfig> drawWorkspace() {
        if (scenario.callers().workspaces() > 0) {
            return config.workspace(callers.drawKey(nowMillis));
        }
        if (scenario.preferredShare() <= 0) {
            return Optional.empty();
        }
        return config.workspace(random.nextDouble() < scenario.preferredShare() ? PREFERRED : OTHERS);
    }

    private void run() {
        for (ModelGateway gateway : gateways) {
            scheduleAt(random.nextDouble() * 250, gateway::report);
        }
        for (RequestKind kind : scenario.kinds()) {
            scheduleArrivals(kind);
        }
        for (FleetScenario.Outage outage : scenario.outages()) {
            scheduleAt(outage.fromSeconds() * 1000, () -> crashEngines(outage));
        }
        for (FleetScenario.GatewayRestart restart : scenario.restarts()) {
            scheduleAt(restart.atSeconds() * 1000, () -> restartGateway(restart.gateway()));
        }
        scheduleAt(SAMPLE_INTERVAL_MILLIS, this::sample);
        double endMillis = scenario.durationSeconds() * 1000.0 + 20_000;
        while (!events.isEmpty() && events.peek().atMillis() < endMillis) {
            Event event = events.poll();
            nowMillis = event.atMillis();
            event.task().run();
        }
        result.recordTotals(prefilledTokens, fetchedTokens, rejectedOffers, preempted, preemptedBesideLessUrgent);
    }

    // ---- callers

    private void scheduleArrivals(RequestKind kind) {
        double ratePerSecond = kind.requestsPerSecond() * callers.rateFactor(nowMillis);
        for (FleetScenario.Burst burst : scenario.bursts()) {
            if (burst.kind().equals(kind.name())
                    && nowMillis >= burst.fromSeconds() * 1000
                    && nowMillis < burst.toSeconds() * 1000) {
                ratePerSecond *= burst.factor();
            }
        }
        double nextMillis = nowMillis - Math.log(1 - random.nextDouble()) / ratePerSecond * 1000;
        if (nextMillis > scenario.durationSeconds() * 1000.0) {
            return;
        }
        scheduleAt(nextMillis, () -> {
            sendRequest(kind);
            scheduleArrivals(kind);
        });
    }

    private void sendRequest(RequestKind kind) {
        List<PromptPart> parts = new ArrayList<>();
        int inputTokens = 0;
        for (int i = 0; i < kind.sharedParts().size(); i++) {
            String name = kind.name() + i;
            int variant = drawIndex(cumulativePartWeights.get(name));
            PromptPart part = new PromptPart(name + "-" + variant, partSizes.get(name)[variant]);
            parts.add(part);
            inputTokens += part.tokens();
        }
        int ownTokens = drawSize(kind.ownTokens(), kind.ownLogDeviation());
        parts.add(new PromptPart("own-" + nextSequenceNumber++, ownTokens));
        inputTokens += ownTokens;
        int outputTokens = Math.max(1, (int) Math.round(kind.meanEvents() * (0.5 + random.nextDouble())))
                * scenario.engine().tokensPerEvent();
        int meanInputTokens = kind.ownTokens()
                + kind.sharedParts().stream()
                        .mapToInt(RequestKind.SharedPart::meanTokens)
                        .sum();
        Prompt prompt = Prompt.of(inputTokens, outputTokens, parts);
        ModelCall call = new ModelCall(
                kind, drawWorkspace(), prompt, outputTokens, nowMillis, inputTokens / (double) meanInputTokens);
        call.impatient = callers.drawImpatient();
        result.recordRequest(call);
        scheduleAt(call.deadlineMillis, () -> disconnect(call));
        watchForGap(call);
        gateways.get(random.nextInt(gateways.size())).dispatch(call, Set.of());
    }

    /** Disconnects a caller whose stream has had no event for longer than its limit. */
    private void watchForGap(ModelCall call) {
        double dueMillis = call.lastEventAtMillis + call.kind.abandonGapMillis();
        scheduleAt(dueMillis, () -> {
            if (!call.ended && call.lastEventAtMillis + call.kind.abandonGapMillis() <= nowMillis) {
                disconnect(call);
            } else if (!call.ended) {
                watchForGap(call);
            }
        });
    }

    private void disconnect(ModelCall call) {
        if (call.ended) {
            return;
        }
        end(call, RequestOutcome.Result.LOST, disconnectCause(call));
        if (call.engine != null) {
            call.engine.remove(call);
            call.gateway.settle(call, Double.isNaN(call.firstEventAtMillis));
            call.engine = null;
            result.recordAbandonment(call);
        } else {
            result.recordFailure(call);
        }
    }

    private String disconnectCause(ModelCall call) {
        String limit = nowMillis >= call.deadlineMillis ? "deadline" : "gap";
        if (call.engine == null) {
            return limit + " while waiting to come back";
        }
        return limit + (Double.isNaN(call.firstEventAtMillis) ? " before the first event" : " in the stream");
    }

    private void end(ModelCall call, RequestOutcome.Result how, String lossCause) {
        call.ended = true;
        result.recordOutcome(call, how, lossCause, nowMillis);
    }

    /**
     * Handles the rejection of a request: the caller retries through a random gateway, once and as told, or at once and
     * often if it is impatient.
     */
    void rejected(ModelCall call, double retryAfterMillis, String reason) {
        result.recordRejection(call, reason);
        call.rejections++;
        call.engine = null;
        call.sends = 0;
        if (call.rejections > (call.impatient ? scenario.callers().maxRepeats() : 1)) {
            end(call, RequestOutcome.Result.LOST, reason);
            result.recordFailure(call);
            return;
        }
        double waitMillis = call.impatient
                ? scenario.callers().repeatMillis()
                : Math.min(retryAfterMillis, (call.deadlineMillis - nowMillis) / 3);
        call.lastEventAtMillis = nowMillis + waitMillis;
        scheduleAt(nowMillis + waitMillis, () -> comeBack(call));
    }

    private void comeBack(ModelCall call) {
        if (!call.ended) {
            if (call.cameBackAsTold()) {
                result.recordCameBack(call);
            }
            gateways.get(random.nextInt(gateways.size())).dispatch(call, Set.of());
        }
    }

    // ---- engines

    void deliverEvent(ModelCall call, boolean last) {
        if (call.ended) {
            return;
        }
        if (Double.isNaN(call.firstEventAtMillis)) {
            call.firstEventAtMillis = nowMillis;
            call.gateway.recordFirstEvent(call);
        } else if (nowMillis - call.lastEventAtMillis > call.kind.maxGapMillis()) {
            call.gapExceeded = true;
        }
        call.lastEventAtMillis = nowMillis;
        if (last) {
            end(call, RequestOutcome.Result.SERVED, "");
            call.gateway.settle(call, false);
            result.recordCompletion(call);
        }
    }

    private void crashEngines(FleetScenario.Outage outage) {
        int count = (int) Math.round(outage.share() * engines.size());
        List<EngineModel> runningEngines = new ArrayList<>(engines.values());
        for (int i = 0; i < count; i++) {
            EngineModel engine = runningEngines.remove(random.nextInt(runningEngines.size()));
            for (ModelCall call : engine.crash()) {
                call.gateway.settle(call, Double.isNaN(call.firstEventAtMillis));
                call.engine = null;
                if (call.kind.resumable()) {
                    call.gateway.server(engine.id).health().recordUnreachable((long) nowMillis);
                    call.gateway.dispatch(call, Set.of(engine.id));
                } else {
                    end(call, RequestOutcome.Result.CRASHED, "crash");
                    result.recordFailure(call);
                }
            }
            gateways.forEach(gateway -> gateway.engineLost(engine.id));
            scheduleAt(outage.toSeconds() * 1000, engine::restart);
        }
    }

    private void restartGateway(int index) {
        ModelGateway ended = gateways.get(index);
        ended.stop();
        for (EngineModel engine : engines.values()) {
            for (ModelCall call : engine.callsOf(ended)) {
                engine.remove(call);
                call.engine = null;
                end(call, RequestOutcome.Result.CRASHED, "restart");
                result.recordFailure(call);
            }
        }
        ModelGateway successor = ended.successor();
        gateways.set(index, successor);
        scheduleAt(nowMillis, successor::report);
    }

    /** Records the prefill of a shared part, and whether it was repeated. */
    void recordSharedPrefill(PromptPart part, EngineModel prefillEngine, ModelCall call) {
        Double previousUseMillis = lastUseMillisByPart.put(part.id(), nowMillis);
        if (previousUseMillis == null) {
            result.recordFirstPrefill(part.tokens());
        } else if (nowMillis - previousUseMillis < REUSE_WINDOW_MILLIS) {
            boolean expectedCached =
                    call.decision.tokensToPrefill() <= call.prompt.inputTokens() - call.prompt.sharedTokens() + 1;
            boolean cachedElsewhere = engines.values().stream()
                    .anyMatch(engine -> engine != prefillEngine && engine.hasCached(part.id()));
            result.repeatedPrefill(part.tokens(), expectedCached, cachedElsewhere);
        }
    }

    /** Records the use of a cached shared part. */
    void recordSharedUse(PromptPart part) {
        lastUseMillisByPart.put(part.id(), nowMillis);
    }

    private void sample() {
        int maxInFlight = 0;
        int totalInFlight = 0;
        int upCount = 0;
        for (EngineModel engine : engines.values()) {
            maxInFlight = Math.max(maxInFlight, engine.inFlight());
            totalInFlight += engine.inFlight();
            upCount += engine.up() ? 1 : 0;
        }
        if (totalInFlight > 0) {
            result.recordLoadRatio(maxInFlight * (double) upCount / totalInFlight);
        }
        if (nowMillis < scenario.durationSeconds() * 1000.0) {
            scheduleAt(nowMillis + SAMPLE_INTERVAL_MILLIS, this::sample);
        }
    }

    // ---- sizes

    private void drawParts(String name, RequestKind.SharedPart part) {
        int[] sizes = new int[part.variants()];
        double[] weights = new double[part.variants()];
        double sum = 0;
        for (int i = 0; i < sizes.length; i++) {
            sizes[i] = drawSize(part.meanTokens(), part.logDeviation());
            sum += Math.pow(i + 1, -ZIPF_EXPONENT);
            weights[i] = sum;
        }
        partSizes.put(name, sizes);
        cumulativePartWeights.put(name, weights);
    }

    private int drawIndex(double[] cumulativeWeights) {
        double point = random.nextDouble() * cumulativeWeights[cumulativeWeights.length - 1];
        int low = 0;
        int high = cumulativeWeights.length - 1;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (cumulativeWeights[middle] < point) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }

    /** Returns a random size from a log-normal distribution with the given mean, at most ten times the mean. */
    private int drawSize(int mean, double logDeviation) {
        double size = mean * Math.exp(logDeviation * random.nextGaussian() - logDeviation * logDeviation / 2);
        return (int) Math.max(1, Math.min(10.0 * mean, size));
    }
}
