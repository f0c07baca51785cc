package org.tanagerhinge.bench.soak;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.tanagerhinge.core.config.ServerKind;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.invariant.Invariant;
import org.tanagerhinge.core.message.BackendCall;
import org.tanagerhinge.core.result.RequestFailure;
import org.tanagerhinge.core.result.RunOutcome;
import org.tanagerhinge.core.router.IncomingRequest;

/** Simulates one call of a caller and checks the answer that it receives. */
final class SimCall {
    private final Simulation sim;
    private final SimRequest request;
    private final SimRouter router;
    private final RequestId id;
    private final int attempt;
    private final StringBuilder text = new StringBuilder();
    private final Duration consumeDelay;
    private boolean ended;

    SimCall(Simulation sim, SimRequest request, SimRouter router, RequestId id, int attempt) {
        this.sim = sim;
        this.request = request;
        this.router = router;
        this.id = id;
        this.attempt = attempt;
        this.consumeDelay = sim.chance(0.02) ? Duration.ofMillis(200) : Duration.ofMillis(1);
    }

    RequestId id() {
        return id;
    }

    SimRequest request() {
        return request;
    }

    int attempt() {
        return attempt;
    }

    boolean ended() {
        return ended;
    }

    Duration consumeDelay() {
        return consumeDelay;
    }

    IncomingRequest incomingRequest() {
        BackendCall call = request.service()
                ? new BackendCall.ServiceCall("POST", "/" + request.number(), "text/plain", new byte[64])
                : new BackendCall.ModelCall(new byte[256]);
        return new IncomingRequest(
                id,
                Simulation.KEY_HASH,
                request.profile(),
                request.service() ? ServerKind.SERVICE : ServerKind.MODEL,
                request.service() ? Simulation.SERVICE : Simulation.MODEL,
                call,
                request.keyed() ? Optional.of("key-" + request.number()) : Optional.empty(),
                "body-" + request.number(),
                50,
                List.of(),
                "prefix-" + request.number() % 5);
    }

    void receiveHead() {}

    void receiveChunk(byte[] data) {
        text.append(new String(data, StandardCharsets.UTF_8));
        sim.checks.check(
                Invariant.WHOLE_ANSWER,
                request.isBeginning(text.toString()),
                () -> request + " received '" + text + "'");
    }

    void receiveCompletion() {
        sim.checks.check(
                Invariant.WHOLE_ANSWER,
                request.isAnswer(text.toString()),
                () -> request + " received '" + text + "' as complete answer");
        end(RunOutcome.COMPLETE);
    }

    void receiveFailure(RequestFailure failure) {
        sim.increment("told_" + failure.code().label() + "_" + failure.outcome().label());
        sim.checks.check(
                Invariant.NOT_RUN_IS_TRUE,
                failure.outcome() != RunOutcome.NOT_RUN || text.isEmpty(),
                () -> request + " received '" + text + "' and then reported as not run");
        end(failure.outcome());
    }

    /** Ends the call with an unknown outcome because its router crashed. */
    void connectionLost() {
        end(RunOutcome.UNKNOWN);
    }

    void disconnect() {
        if (!ended) {
            router.disconnectCaller(this);
            end(RunOutcome.UNKNOWN);
        }
    }

    private void end(RunOutcome outcome) {
        if (ended) {
            sim.checks.recordViolation(Invariant.WHOLE_ANSWER, request + " received two final results");
        }
        ended = true;
        sim.callEnded(this, outcome);
    }

    @Override
    public String toString() {
        return id + " of " + request;
    }
}
