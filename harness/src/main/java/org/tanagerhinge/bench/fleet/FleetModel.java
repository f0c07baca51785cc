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
import org.tanagerhinge.core.relay.CallerLimits;
import org.tanagerhinge.core.relay.Mechanism;
import org.tanagerhinge.core.relay.Prompt;
import org.tanagerhinge.core.relay.PromptPart;
import org.tanagerhinge.core.relay.RelayConfig;
import org.tanagerhinge.core.relay.Route;
import org.tanagerhinge.core.relay.RouteKind;
import org.tanagerhinge.core.relay.WeightedService;
import org.tanagerhinge.core.relay.WorkspaceConfig;

/** Plays a scene: the same events in the same order for the same seed. */
public final class FleetModel {
    /** A shared part that is read again within this time after its last use could have been spared. */
    private static final double AGAIN_MILLIS = 10_000;
    /** How unevenly shared parts are asked for: the exponent of Zipf's law. */
    private static final double SKEW = 0.3;

    private static final double SAMPLE_MILLIS = 100;
    private static final String PREFERRED = "preferred";
    private static final String OTHERS = "others";

    private final FleetScene scene;
    private final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<ModelGateway> gateways = new ArrayList<>();
    private final Map<String, EngineModel> engines = new LinkedHashMap<>();
    private final Map<String, Route> routes = new HashMap<>();
    private final Map<String, int[]> partSizes = new HashMap<>();
    private final Map<String, double[]> partWeights = new HashMap<>();
    private final Map<String, Double> lastUse = new HashMap<>();
    private final FleetResult result;
    private final RelayConfig config;
    private double now;
    private long order;
    private long sequence;
    long tokensRead;
    long tokensFetched;
    long fullEngines;
    long preempted;
    long preemptedBesideLessUrgent;

    private FleetModel(FleetScene scene, long seed, Set<Mechanism> off) {
        this.scene = scene;
        this.random = new Random(seed);
        this.result = FleetResult.of(scene);
        for (int i = 0; i < scene.engines(); i++) {
            engines.put(engineId(i), new EngineModel(engineId(i), scene.engine(), this));
        }
        for (PromptKind kind : scene.kinds()) {
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
                            kind.targetMillis(),
                            kind.gapMillis(),
                            kind.rank(),
                            true,
                            true));
            for (int i = 0; i < kind.shared().size(); i++) {
                drawParts(kind.name() + i, kind.shared().get(i));
            }
        }
        Map<String, WorkspaceConfig> workspaces = scene.preferred() <= 0
                ? Map.of()
                : Map.of(
                        PREFERRED, new WorkspaceConfig(PREFERRED, OptionalInt.of(0)),
                        OTHERS, new WorkspaceConfig(OTHERS, OptionalInt.of(1)));
        this.config = RelayConfig.of(1, List.copyOf(routes.values()), List.of(), workspaces, CallerLimits.DEFAULT);
        for (int i = 0; i < scene.gateways(); i++) {
            gateways.add(new ModelGateway("g" + i, this, scene, off));
        }
    }

    /**
     * Plays a scene to its end.
     *
     * @param off mechanisms of the gateways that are switched off
     */
    public static FleetResult play(FleetScene scene, long seed, Set<Mechanism> off) {
        FleetModel model = new FleetModel(scene, seed, off);
        model.run();
        return model.result;
    }

    static String engineId(int number) {
        return String.format(Locale.ROOT, "e%03d", number);
    }

    private record Event(double at, long order, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    double now() {
        return now;
    }

    Random random() {
        return random;
    }

    void at(double time, Runnable task) {
        events.add(new Event(time, order++, task));
    }

    List<ModelGateway> gateways() {
        return gateways;
    }

    EngineModel engine(String id) {
        return engines.get(id);
    }

    Route route(PromptKind kind) {
        return routes.get(kind.name());
    }

    long nextSequence() {
        return sequence++;
    }

    RelayConfig config() {
        return config;
    }

    boolean placesPreempt() {
        return scene.placesPreempt();
    }

    private Optional<WorkspaceConfig> drawWorkspace() {
        if (scene.preferred() <= 0) {
            return Optional.empty();
        }
        return config.workspace(random.nextDouble() < scene.preferred() ? PREFERRED : OTHERS);
    }

    private void run() {
        for (ModelGateway gateway : gateways) {
            at(random.nextDouble() * 250, gateway::report);
        }
        for (PromptKind kind : scene.kinds()) {
            arrive(kind);
        }
        for (FleetScene.Loss loss : scene.losses()) {
            at(loss.from() * 1000, () -> lose(loss));
        }
        at(SAMPLE_MILLIS, this::sample);
        double end = scene.seconds() * 1000.0 + 20_000;
        while (!events.isEmpty() && events.peek().at() < end) {
            Event event = events.poll();
            now = event.at();
            event.task().run();
        }
        result.ended(tokensRead, tokensFetched, fullEngines, preempted, preemptedBesideLessUrgent);
    }

    // ---- callers

    private void arrive(PromptKind kind) {
        double rate = kind.perSecond();
        for (FleetScene.Burst burst : scene.bursts()) {
            if (burst.kind().equals(kind.name()) && now >= burst.from() * 1000 && now < burst.to() * 1000) {
                rate *= burst.times();
            }
        }
        double next = now - Math.log(1 - random.nextDouble()) / rate * 1000;
        if (next > scene.seconds() * 1000.0) {
            return;
        }
        at(next, () -> {
            ask(kind);
            arrive(kind);
        });
    }

    private void ask(PromptKind kind) {
        List<PromptPart> parts = new ArrayList<>();
        int input = 0;
        for (int i = 0; i < kind.shared().size(); i++) {
            String name = kind.name() + i;
            int thing = draw(partWeights.get(name));
            PromptPart part = new PromptPart(name + "-" + thing, partSizes.get(name)[thing]);
            parts.add(part);
            input += part.tokens();
        }
        int own = size(kind.ownTokens(), kind.ownSpread());
        parts.add(new PromptPart("own-" + sequence++, own));
        input += own;
        int output = Math.max(1, (int) Math.round(kind.events() * (0.5 + random.nextDouble())))
                * scene.engine().stride();
        int mean = kind.ownTokens()
                + kind.shared().stream()
                        .mapToInt(PromptKind.SharedPart::meanTokens)
                        .sum();
        Prompt prompt = Prompt.of(input, output, parts);
        ModelCall call = new ModelCall(kind, drawWorkspace(), prompt, output, now, input / (double) mean);
        result.asked(call);
        at(call.deadline, () -> leave(call));
        watch(call);
        gateways.get(random.nextInt(gateways.size())).take(call, Set.of());
    }

    /** A caller leaves a stream that has brought nothing for too long. */
    private void watch(ModelCall call) {
        double due = call.lastEventAt + call.kind.patienceMillis();
        at(due, () -> {
            if (!call.over && call.lastEventAt + call.kind.patienceMillis() <= now) {
                leave(call);
            } else if (!call.over) {
                watch(call);
            }
        });
    }

    private void leave(ModelCall call) {
        if (call.over) {
            return;
        }
        call.over = true;
        if (call.engine != null) {
            call.engine.drop(call);
            call.gateway.settle(call, Double.isNaN(call.firstEventAt));
            call.engine = null;
            result.left(call);
        } else {
            result.failed(call);
        }
    }

    /** A gateway has refused a request; its caller comes back once, through another gateway. */
    void refused(ModelCall call, double retryAfterMillis, String why) {
        result.refused(call, why);
        call.refusals++;
        call.engine = null;
        call.sends = 0;
        if (call.refusals > 1) {
            call.over = true;
            result.failed(call);
            return;
        }
        double wait = Math.min(retryAfterMillis, (call.deadline - now) / 3);
        call.lastEventAt = now + wait;
        at(now + wait, () -> gateways.get(random.nextInt(gateways.size())).take(call, Set.of()));
    }

    // ---- engines

    void event(ModelCall call, boolean last) {
        if (call.over) {
            return;
        }
        if (Double.isNaN(call.firstEventAt)) {
            call.firstEventAt = now;
            call.gateway.began(call);
        } else if (now - call.lastEventAt > call.kind.gapMillis()) {
            call.paused = true;
        }
        call.lastEventAt = now;
        if (last) {
            call.over = true;
            call.gateway.settle(call, false);
            result.served(call);
        }
    }

    private void lose(FleetScene.Loss loss) {
        int count = (int) Math.round(loss.share() * engines.size());
        List<EngineModel> all = new ArrayList<>(engines.values());
        for (int i = 0; i < count; i++) {
            EngineModel engine = all.remove(random.nextInt(all.size()));
            for (ModelCall call : engine.lose()) {
                call.gateway.settle(call, Double.isNaN(call.firstEventAt));
                call.engine = null;
                if (call.kind.resumable()) {
                    call.gateway.server(engine.id).health().recordUnreachable((long) now);
                    call.gateway.take(call, Set.of(engine.id));
                } else {
                    call.over = true;
                    result.failed(call);
                }
            }
            gateways.forEach(gateway -> gateway.lost(engine.id));
            at(loss.to() * 1000, engine::comeBack);
        }
    }

    /** A shared part has been read. */
    void sharedRead(PromptPart part, EngineModel at, ModelCall call) {
        Double last = lastUse.put(part.id(), now);
        if (last == null) {
            result.readFirst(part.tokens());
        } else if (now - last < AGAIN_MILLIS) {
            boolean believed =
                    call.placed.tokensToPrefill() <= call.prompt.inputTokens() - call.prompt.sharedTokens() + 1;
            boolean elsewhere = engines.values().stream().anyMatch(engine -> engine != at && engine.holds(part.id()));
            result.readAgain(part.tokens(), believed, elsewhere);
        }
    }

    /** A shared part was held. */
    void sharedUsed(PromptPart part) {
        lastUse.put(part.id(), now);
    }

    private void sample() {
        int most = 0;
        int sum = 0;
        int up = 0;
        for (EngineModel engine : engines.values()) {
            most = Math.max(most, engine.busy());
            sum += engine.busy();
            up += engine.up() ? 1 : 0;
        }
        if (sum > 0) {
            result.load(most * (double) up / sum);
        }
        if (now < scene.seconds() * 1000.0) {
            at(now + SAMPLE_MILLIS, this::sample);
        }
    }

    // ---- sizes

    private void drawParts(String name, PromptKind.SharedPart part) {
        int[] sizes = new int[part.things()];
        double[] weights = new double[part.things()];
        double sum = 0;
        for (int i = 0; i < sizes.length; i++) {
            sizes[i] = size(part.meanTokens(), part.spread());
            sum += Math.pow(i + 1, -SKEW);
            weights[i] = sum;
        }
        partSizes.put(name, sizes);
        partWeights.put(name, weights);
    }

    private int draw(double[] sums) {
        double point = random.nextDouble() * sums[sums.length - 1];
        int low = 0;
        int high = sums.length - 1;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (sums[middle] < point) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }

    /** Returns a size of a log-normal distribution with a mean, at most ten times the mean. */
    private int size(int mean, double spread) {
        double size = mean * Math.exp(spread * random.nextGaussian() - spread * spread / 2);
        return (int) Math.max(1, Math.min(10.0 * mean, size));
    }
}
