package org.tanagerhinge.bench.soak;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.tanagerhinge.core.config.ServerKind;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.invariant.Invariant;
import org.tanagerhinge.core.message.BackendCall;
import org.tanagerhinge.core.result.RequestFailure;
import org.tanagerhinge.core.result.RunOutcome;
import org.tanagerhinge.core.router.IncomingRequest;

/** One call of a simulated caller. It checks its answer, and repeats a keyed request whose fate it was not told. */
final class SimCall {
    private final Simulation sim;
    private final SimRequest request;
    private final SimRouter router;
    private final RequestId id;
    private final int tries;
    private final StringBuilder text = new StringBuilder();
    private final Duration readingTime;
    private boolean ended;

    SimCall(Simulation sim, SimRequest request, SimRouter router, RequestId id, int tries) {
        this.sim = sim;
        this.request = request;
        this.router = router;
        this.id = id;
        this.tries = tries;
        this.readingTime = sim.chance(0.02) ? Duration.ofMillis(200) : Duration.ofMillis(1);
    }

    RequestId id() {
        return id;
    }

    SimRequest request() {
        return request;
    }

    int tries() {
        return tries;
    }

    boolean ended() {
        return ended;
    }

    Duration readingTime() {
        return readingTime;
    }

    IncomingRequest arrival() {
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
                "prefix-" + request.number() % 5);
    }

    void head() {}

    void piece(byte[] data) {
        text.append(new String(data, StandardCharsets.UTF_8));
        sim.checks.check(
                Invariant.WHOLE_ANSWER,
                request.answer().startsWith(text.toString()),
                () -> request + " was given '" + text + "'");
    }

    void complete() {
        sim.checks.check(
                Invariant.WHOLE_ANSWER,
                request.answer().contentEquals(text),
                () -> request + " was given '" + text + "' as whole");
        end(RunOutcome.COMPLETE);
    }

    void refused(RequestFailure refusal) {
        sim.counted("told_" + refusal.code().label() + "_" + refusal.outcome().label());
        sim.checks.check(
                Invariant.NOT_RUN_IS_TRUE,
                refusal.outcome() != RunOutcome.NOT_RUN || text.isEmpty(),
                () -> request + " was given '" + text + "' and then told not run");
        end(refusal.outcome());
    }

    /** The router went away under the caller. */
    void connectionBroke() {
        end(RunOutcome.UNKNOWN);
    }

    void hangUp() {
        if (!ended) {
            router.hangUp(this);
            end(RunOutcome.UNKNOWN);
        }
    }

    private void end(RunOutcome run) {
        if (ended) {
            sim.checks.recordViolation(Invariant.WHOLE_ANSWER, request + " was answered twice");
        }
        ended = true;
        sim.ended(this, run);
    }

    @Override
    public String toString() {
        return id + " of " + request;
    }
}
