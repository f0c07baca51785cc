package org.tanagerhinge.bench.fleet;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tanagerhinge.core.attempt.RequestFingerprint;
import org.tanagerhinge.core.relay.PlacementPolicy;
import org.tanagerhinge.core.relay.PlacementRequest;
import org.tanagerhinge.core.relay.Prompt;
import org.tanagerhinge.core.relay.RankGate;
import org.tanagerhinge.core.relay.WorkspaceConfig;

/** Tracks a simulated request of a caller and the state of its latest attempt. */
final class ModelCall {
    final RequestKind kind;
    final Optional<WorkspaceConfig> workspace;
    final Prompt prompt;
    final int outputTokens;
    final double requestedAtMillis;
    final double deadlineMillis;
    final double relativeSize;
    boolean impatient;
    int rejections;
    int sends;

    // State of the latest attempt.
    ModelGateway gateway;
    EngineModel engine;
    PlacementRequest request;
    PlacementPolicy.Decision decision;
    RankGate.PendingRequest pendingRequest;
    double sentAtMillis = Double.NaN;
    int priorityLevel;
    long sequence;
    double fetchedAtMillis = -1;
    final List<String> fetchingParts = new ArrayList<>();
    boolean prefillStarted;
    int tokensToPrefill;
    int prefilledTokens;
    int generatedTokens;
    double firstEventAtMillis = Double.NaN;
    double lastEventAtMillis;
    boolean gapExceeded;
    boolean ended;

    ModelCall(
            RequestKind kind,
            Optional<WorkspaceConfig> workspace,
            Prompt prompt,
            int outputTokens,
            double nowMillis,
            double relativeSize) {
        this.kind = kind;
        this.workspace = workspace;
        this.prompt = prompt;
        this.outputTokens = outputTokens;
        this.requestedAtMillis = nowMillis;
        this.deadlineMillis = nowMillis + kind.timeoutMillis();
        this.relativeSize = relativeSize;
        this.lastEventAtMillis = nowMillis;
    }

    /** Returns the fingerprint that repeats of this request have in common. */
    RequestFingerprint fingerprint() {
        return RequestFingerprint.of("", "POST", "h", requestedAtMillis + " " + prompt, ByteBuffer.allocate(0));
    }

    /** Returns whether it was rejected and its caller waited as told before it came back. */
    boolean cameBackAsTold() {
        return rejections > 0 && !impatient;
    }

    /** Returns the credit for an answer on time, weighted by the size of the prompt. */
    double possibleCredit() {
        return kind.onTimeValue() * (0.3 + 0.7 * Math.min(4, relativeSize));
    }

    /** Returns whether the first event was later than its target. */
    boolean firstEventLate() {
        return firstEventAtMillis - requestedAtMillis > kind.firstEventTargetMillis();
    }

    /** Returns the credit for the answer that was delivered, reduced if it was late. */
    double earnedCredit() {
        boolean late = gapExceeded || firstEventLate();
        return possibleCredit() * (late ? kind.lateValue() / kind.onTimeValue() : 1);
    }
}
