package org.tanagerhinge.bench.fleet;

import java.util.List;
import java.util.Optional;
import org.tanagerhinge.bench.fleet.FleetScenario.Burst;
import org.tanagerhinge.bench.fleet.RequestKind.SharedPart;

/** Holds the scenarios of heterogeneous engines and of insufficient capacity. */
public final class TargetWorkloads {
    private TargetWorkloads() {}

    /** Returns bursts of verdicts and of drafts on engines of different speeds with noisy neighbors. */
    public static FleetScenario uneven() {
        return new FleetScenario(
                        "uneven",
                        23,
                        29,
                        new EngineParameters(96, 201, 543_177, 112, 2_048, 3.41, 0.097, 0.0023, 0.218, 1.7, 8, 6),
                        List.of(draft(), verdict()),
                        List.of(
                                new Burst("verdict", 2.69, 0.5, 9.5),
                                new Burst("draft", 2.3, 11, 16),
                                new Burst("verdict", 2.3, 17.5, 21)),
                        List.of(),
                        26,
                        0,
                        false)
                .withHosts(new HostSpeeds(List.of(0.55, 1.2, 1.2, 1.2), 2.5, 0.15, 600));
    }

    /**
     * Returns bursts of digests and of queries that exceed what the engines can do, from workspaces of uneven size, one
     * of which sends ten times its usual load at times.
     */
    public static FleetScenario crowded() {
        return new FleetScenario(
                        "crowded",
                        23,
                        30,
                        new EngineParameters(64, 134, 333_946, 42.8, 1_024, 6.35, 0.00115, 0.0129, 0.97, 7.3, 4, 4),
                        List.of(digest(), query()),
                        List.of(
                                new Burst("digest", 6, 0.5, 9.5),
                                new Burst("query", 6, 11, 16),
                                new Burst("digest", 6, 17.5, 21)),
                        List.of(),
                        26,
                        0,
                        false)
                .withCallers(new Callers(24, 1, Optional.of(new Callers.HotWorkspace(1, 10, 3, 8)), 0.3, 20, 20));
    }

    private static RequestKind draft() {
        return new RequestKind(
                "draft",
                0,
                108,
                List.of(new SharedPart(119, 0.4, 40), new SharedPart(79, 0.7, 1_260)),
                628,
                1.0,
                49,
                307,
                200,
                10_000,
                2_000,
                3.5,
                0.3,
                false);
    }

    private static RequestKind verdict() {
        return new RequestKind(
                "verdict",
                1,
                146,
                List.of(new SharedPart(2_520, 0.4, 4), new SharedPart(3_780, 0.7, 869)),
                2_890,
                1.0,
                9,
                415,
                300,
                5_000,
                2_400,
                1.6,
                0.47,
                true);
    }

    private static RequestKind digest() {
        return new RequestKind(
                "digest",
                1,
                52.4,
                List.of(new SharedPart(2_520, 0.4, 4), new SharedPart(3_780, 0.7, 375)),
                2_890,
                1.0,
                13,
                600,
                250,
                6_000,
                2_400,
                4.7,
                1.4,
                false);
    }

    private static RequestKind query() {
        return new RequestKind(
                "query",
                0,
                96.2,
                List.of(new SharedPart(119, 0.4, 80), new SharedPart(79, 0.7, 1_161)),
                628,
                1.0,
                66,
                250,
                150,
                15_000,
                2_000,
                1.0,
                0.093,
                true);
    }
}
