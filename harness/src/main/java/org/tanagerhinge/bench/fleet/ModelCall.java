package org.tanagerhinge.bench.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tanagerhinge.core.relay.PlacementPolicy;
import org.tanagerhinge.core.relay.PlacementRequest;
import org.tanagerhinge.core.relay.Prompt;
import org.tanagerhinge.core.relay.RankGate;
import org.tanagerhinge.core.relay.WorkspaceConfig;

/** One request of a caller, with its tries. */
final class ModelCall {
    final PromptKind kind;
    final Optional<WorkspaceConfig> workspace;
    final Prompt prompt;
    final int outputTokens;
    final double firstAsked;
    final double deadline;
    final double size;
    int refusals;
    int sends;

    // The newest try.
    ModelGateway gateway;
    EngineModel engine;
    PlacementRequest request;
    PlacementPolicy.Decision placed;
    RankGate.PendingRequest waiting;
    double sentAt;
    int level;
    long sequence;
    double fetchedAt = -1;
    final List<String> arriving = new ArrayList<>();
    boolean started;
    int toRead;
    int read;
    int generated;
    double firstEventAt = Double.NaN;
    double lastEventAt;
    boolean paused;
    boolean over;

    ModelCall(
            PromptKind kind,
            Optional<WorkspaceConfig> workspace,
            Prompt prompt,
            int outputTokens,
            double now,
            double size) {
        this.kind = kind;
        this.workspace = workspace;
        this.prompt = prompt;
        this.outputTokens = outputTokens;
        this.firstAsked = now;
        this.deadline = now + kind.timeoutMillis();
        this.size = size;
        this.lastEventAt = now;
    }

    /** Returns what an answer on time is worth. */
    double owed() {
        return kind.worth() * (0.3 + 0.7 * Math.min(4, size));
    }

    /** Returns what the answer that was given is worth. */
    double earned() {
        boolean late = paused || firstEventAt - firstAsked > kind.targetMillis();
        return owed() * (late ? kind.lateWorth() / kind.worth() : 1);
    }
}
