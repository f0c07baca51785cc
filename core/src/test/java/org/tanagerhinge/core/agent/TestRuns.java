package org.tanagerhinge.core.agent;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.tanagerhinge.core.id.ProfileName;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.id.TargetName;
import org.tanagerhinge.core.id.WorkspaceId;
import org.tanagerhinge.core.message.BackendCall;
import org.tanagerhinge.core.message.Execution;
import org.tanagerhinge.core.message.Frame;
import org.tanagerhinge.core.message.SchedulingParameters;
import org.tanagerhinge.core.message.WorkItem;

/** Creates runs for the tests of this package. */
final class TestRuns {
    static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    static final Duration START_TARGET = Duration.ofSeconds(2);
    private static long lastId;

    private TestRuns() {}

    static Run run(String profile, int tier, double share, long cost) {
        return run(profile, tier, share, cost, "ws", Duration.ofSeconds(60), Optional.empty());
    }

    static Run run(
            String profile,
            int tier,
            double share,
            long cost,
            String workspace,
            Duration timeLeft,
            Optional<Execution> execution) {
        long id = ++lastId;
        WorkItem work = new WorkItem(
                WorkspaceId.of(workspace),
                ProfileName.of(profile),
                new SchedulingParameters(tier, share, 1000, execution.isEmpty(), START_TARGET, 1),
                TargetName.of("m"),
                new BackendCall.ModelCall(new byte[10]),
                0);
        return new Run(
                id,
                new Frame.Submit(
                        id, RequestId.of("r" + id), work, timeLeft, execution, Optional.empty(), "", 0, "", cost),
                NOW);
    }
}
