package org.tanagerhinge.bench.fleet;

import java.util.List;

/**
 * Describes a simulated fleet, its traffic and its disturbances.
 *
 * @param gateways number of gateways, which share the traffic
 * @param engines number of engines
 * @param kinds kinds of requests that callers send
 * @param bursts periods with a higher rate of one kind
 * @param outages periods in which a share of the engines is down
 * @param restarts restarts of gateways
 * @param durationSeconds simulated time
 * @param preferredShare share of the requests that come from a workspace of a more urgent rank than all others; 0 if
 *     all
 *     workspaces have the same
 * @param preemptsForSlots whether engines preempt if a more urgent request finds no free slot, and not for memory alone
 * @param hosts speeds of the engines' hosts
 * @param callers workspaces and patience of the callers
 */
public record FleetScenario(
        String name,
        int gateways,
        int engines,
        EngineParameters engine,
        List<RequestKind> kinds,
        List<Burst> bursts,
        List<Outage> outages,
        List<GatewayRestart> restarts,
        int durationSeconds,
        double preferredShare,
        boolean preemptsForSlots,
        HostSpeeds hosts,
        Callers callers) {
    /** Rejects a scenario with both kinds of workspaces. */
    public FleetScenario {
        if (preferredShare > 0 && callers.workspaces() > 0) {
            throw new IllegalArgumentException("preferred share and workspaces of callers exclude each other");
        }
    }

    /** Creates a scenario whose engines are equally fast at all times and whose callers have no keys. */
    public FleetScenario(
            String name,
            int gateways,
            int engines,
            EngineParameters engine,
            List<RequestKind> kinds,
            List<Burst> bursts,
            List<Outage> outages,
            int durationSeconds,
            double preferredShare,
            boolean preemptsForSlots) {
        this(
                name,
                gateways,
                engines,
                engine,
                kinds,
                bursts,
                outages,
                List.of(),
                durationSeconds,
                preferredShare,
                preemptsForSlots,
                HostSpeeds.NOMINAL,
                Callers.ANONYMOUS);
    }

    /**
     * Describes a period with a higher rate of one kind of request.
     *
     * @param factor multiple of the usual rate
     * @param fromSeconds start in seconds of simulated time, as {@code toSeconds} is the end
     */
    public record Burst(String kind, double factor, double fromSeconds, double toSeconds) {}

    /**
     * Describes a period in which engines are down; they restart with empty caches.
     *
     * @param share share of all engines
     * @param fromSeconds start in seconds of simulated time, as {@code toSeconds} is the end
     */
    public record Outage(double share, double fromSeconds, double toSeconds) {}

    /** Describes the end of a gateway and its requests; a new process without any state replaces it at once. */
    public record GatewayRestart(int gateway, double atSeconds) {}

    /**
     * Returns this scenario with gateways, engines, variants and request rates divided by the factor, and another
     * duration.
     */
    public FleetScenario scaledDown(double factor, int newDurationSeconds) {
        List<RequestKind> fewer =
                kinds.stream().map(kind -> kind.scaledDown(factor)).toList();
        int nodes = (int) Math.max(2, Math.round(gateways / factor));
        int servers = (int) Math.max(2, Math.round(engines / factor));
        return new FleetScenario(
                name,
                nodes,
                servers,
                engine,
                fewer,
                bursts,
                outages,
                restarts,
                newDurationSeconds,
                preferredShare,
                preemptsForSlots,
                hosts,
                callers);
    }

    /** Returns this scenario with other bursts and outages. */
    public FleetScenario withDisturbances(List<Burst> newBursts, List<Outage> newOutages) {
        return new FleetScenario(
                name,
                gateways,
                engines,
                engine,
                kinds,
                newBursts,
                newOutages,
                restarts,
                durationSeconds,
                preferredShare,
                preemptsForSlots,
                hosts,
                callers);
    }

    /** Returns this scenario with restarts of gateways. */
    public FleetScenario withRestarts(List<GatewayRestart> newRestarts) {
        return new FleetScenario(
                name,
                gateways,
                engines,
                engine,
                kinds,
                bursts,
                outages,
                newRestarts,
                durationSeconds,
                preferredShare,
                preemptsForSlots,
                hosts,
                callers);
    }

    /** Returns this scenario with a share of the requests from a workspace of a more urgent rank. */
    public FleetScenario withPreferredShare(double share) {
        return new FleetScenario(
                name,
                gateways,
                engines,
                engine,
                kinds,
                bursts,
                outages,
                restarts,
                durationSeconds,
                share,
                preemptsForSlots,
                hosts,
                callers);
    }

    /** Returns this scenario with engines that preempt if a more urgent request finds no free slot. */
    public FleetScenario withSlotPreemption() {
        return new FleetScenario(
                name,
                gateways,
                engines,
                engine,
                kinds,
                bursts,
                outages,
                restarts,
                durationSeconds,
                preferredShare,
                true,
                hosts,
                callers);
    }

    /** Returns this scenario with other speeds of hosts. */
    public FleetScenario withHosts(HostSpeeds newHosts) {
        return new FleetScenario(
                name,
                gateways,
                engines,
                engine,
                kinds,
                bursts,
                outages,
                restarts,
                durationSeconds,
                preferredShare,
                preemptsForSlots,
                newHosts,
                callers);
    }

    /** Returns this scenario with other callers. */
    public FleetScenario withCallers(Callers newCallers) {
        return new FleetScenario(
                name,
                gateways,
                engines,
                engine,
                kinds,
                bursts,
                outages,
                restarts,
                durationSeconds,
                preferredShare,
                preemptsForSlots,
                hosts,
                newCallers);
    }

    /**
     * Returns a burst of long prompts of the last rank beside short ones, on engines with many slots and a large
     * cache.
     */
    public static FleetScenario manySlots() {
        return new FleetScenario(
                "many-places",
                29,
                36,
                new EngineParameters(96, 201, 1_239_897, 157, 4_096, 3.55, 0.0462, 0.00115, 0.109, 0.82, 8, 6),
                List.of(
                        new RequestKind(
                                "draft",
                                2,
                                208,
                                List.of(new RequestKind.SharedPart(13_300, 0.7, 1_217)),
                                3_720,
                                1.1,
                                20,
                                1_200,
                                800,
                                8_000,
                                6_400,
                                1.4,
                                0.4,
                                false),
                        new RequestKind(
                                "quote",
                                1,
                                97.4,
                                List.of(
                                        new RequestKind.SharedPart(2_520, 0.4, 4),
                                        new RequestKind.SharedPart(3_780, 0.7, 1_365)),
                                2_890,
                                1.0,
                                8.7,
                                400,
                                300,
                                5_000,
                                2_400,
                                2.1,
                                0.61,
                                true),
                        new RequestKind(
                                "summary",
                                0,
                                132,
                                List.of(
                                        new RequestKind.SharedPart(210, 0.4, 16),
                                        new RequestKind.SharedPart(140, 0.7, 822)),
                                1_110,
                                1.0,
                                28.7,
                                250,
                                200,
                                10_000,
                                2_000,
                                2.4,
                                0.21,
                                false)),
                List.of(
                        new Burst("draft", 2.92, 0.5, 9.5),
                        new Burst("quote", 1.5, 9.6, 13.1),
                        new Burst("summary", 2.76, 11, 16),
                        new Burst("draft", 2.6, 17.5, 21)),
                List.of(new Outage(0.25, 9.5, 11.5)),
                26,
                0,
                false);
    }

    /** Returns a burst of plans beside questions of the first rank, on engines with few slots and a small cache. */
    public static FleetScenario fewSlots() {
        return new FleetScenario(
                "few-places",
                33,
                37,
                new EngineParameters(16, 33, 271_759, 42.8, 1_024, 6.35, 0.00115, 0.0129, 0.97, 1.77, 2.5, 3),
                List.of(
                        new RequestKind(
                                "plan",
                                1,
                                68.2,
                                List.of(
                                        new RequestKind.SharedPart(2_520, 0.4, 4),
                                        new RequestKind.SharedPart(3_780, 0.7, 801)),
                                2_890,
                                1.0,
                                17.4,
                                600,
                                200,
                                6_000,
                                2_400,
                                4.1,
                                1.2,
                                true),
                        new RequestKind(
                                "question",
                                0,
                                52,
                                List.of(
                                        new RequestKind.SharedPart(119, 0.4, 53),
                                        new RequestKind.SharedPart(79, 0.7, 797)),
                                628,
                                1.0,
                                97.1,
                                250,
                                120,
                                15_000,
                                2_000,
                                0.89,
                                0.081,
                                false)),
                List.of(new Burst("plan", 2.4, 0.5, 9.5), new Burst("plan", 2.2, 17.5, 21)),
                List.of(new Outage(0.25, 9.5, 11.5)),
                26,
                0,
                false);
    }

    /**
     * Returns bursts of plans, most with rarely shared parts, beside many questions of the first rank with long
     * answers.
     */
    public static FleetScenario ownParts() {
        return new FleetScenario(
                "own-parts",
                30,
                38,
                new EngineParameters(32, 67, 295_794, 42.8, 1_024, 6.35, 0.00115, 0.0129, 0.97, 1.77, 2.5, 4),
                List.of(
                        new RequestKind(
                                "plan",
                                1,
                                71.8,
                                List.of(
                                        new RequestKind.SharedPart(2_520, 0.4, 4),
                                        new RequestKind.SharedPart(3_780, 0.7, 581)),
                                2_890,
                                1.0,
                                13,
                                600,
                                250,
                                6_000,
                                2_400,
                                5.2,
                                1.5,
                                true),
                        new RequestKind(
                                "question",
                                0,
                                127,
                                List.of(
                                        new RequestKind.SharedPart(119, 0.4, 80),
                                        new RequestKind.SharedPart(79, 0.7, 636)),
                                628,
                                1.0,
                                73,
                                250,
                                150,
                                15_000,
                                2_000,
                                1.1,
                                0.099,
                                false)),
                List.of(
                        new Burst("plan", 2.76, 0.5, 9.5),
                        new Burst("question", 2.44, 11, 16),
                        new Burst("plan", 2.76, 17.5, 21)),
                List.of(new Outage(0.25, 18.8, 24)),
                26,
                0,
                false);
    }
}
