package org.tanagerhinge.core.router;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.tanagerhinge.core.attempt.AttemptHistory;
import org.tanagerhinge.core.chart.StateChart;
import org.tanagerhinge.core.chart.StateMachine;
import org.tanagerhinge.core.config.Profile;
import org.tanagerhinge.core.config.Workspace;
import org.tanagerhinge.core.id.KeyDigest;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.id.TargetName;
import org.tanagerhinge.core.message.ClaimEntry;
import org.tanagerhinge.core.message.Execution;
import org.tanagerhinge.core.message.SchedulingParameters;
import org.tanagerhinge.core.message.WorkItem;
import org.tanagerhinge.core.result.RequestFailure;

/** One caller's request at a router, from its arrival to its end. */
final class Exchange {
    private static final StateChart<ExchangeState, ExchangeEvent> CHART =
            StateChart.load("exchange", ExchangeState.class, ExchangeEvent.class);

    private final IncomingRequest request;
    private final Workspace workspace;
    private final Profile profile;
    private final TargetName target;
    private final Instant arrivedAt;
    private final long expectedUnits;
    private final StateMachine<ExchangeState, ExchangeEvent> machine = CHART.newStateMachine();
    private final AttemptHistory history;
    private final Set<ServerId> triedServers = new HashSet<>();
    private final ByteArrayOutputStream delivered = new ByteArrayOutputStream();

    private long attemptNumber;
    private ServerId server;
    private long serverIncarnation;
    private long generation;
    private ClaimEntry claim;
    private ClaimEntry followedClaim;
    private long claimSequence;
    private Instant waitingSince;
    private Instant lastQueriedAt = Instant.MIN;
    private long deliveredUnits;
    private long uncreditedUnits;
    private boolean headSent;
    private boolean attemptUnresolved;
    private boolean attached;
    private Instant firstOutputAt;
    private Instant lastProgressAt;
    private RequestFailure lastRefusal;

    Exchange(
            IncomingRequest request,
            Workspace workspace,
            Profile profile,
            TargetName target,
            Instant arrivedAt,
            long expectedUnits,
            AttemptHistory history) {
        this.request = request;
        this.workspace = workspace;
        this.profile = profile;
        this.target = target;
        this.arrivedAt = arrivedAt;
        this.expectedUnits = expectedUnits;
        this.history = history;
    }

    RequestId id() {
        return request.id();
    }

    IncomingRequest request() {
        return request;
    }

    Workspace workspace() {
        return workspace;
    }

    Profile profile() {
        return profile;
    }

    TargetName target() {
        return target;
    }

    boolean idempotent() {
        return profile.idempotent();
    }

    /** Returns whether the caller may repeat this non-idempotent request under its own key. */
    boolean keyed() {
        return !idempotent() && request.idempotencyKey().isPresent();
    }

    /** Returns the digest under which a non-idempotent request runs; one without a key gets its own. */
    KeyDigest keyDigest() {
        String key = request.idempotencyKey().map(text -> "key " + text).orElseGet(() -> "request " + request.id());
        return KeyDigest.of(workspace.id(), target, key);
    }

    WorkItem work() {
        return new WorkItem(
                workspace.id(),
                profile.name(),
                SchedulingParameters.of(profile, workspace),
                target,
                request.call(),
                request.promptUnits());
    }

    Instant arrivedAt() {
        return arrivedAt;
    }

    Duration timeLeft(Instant now) {
        return profile.deadline().minus(Duration.between(arrivedAt, now));
    }

    long expectedUnits() {
        return Math.max(1, expectedUnits - deliveredUnits);
    }

    StateMachine<ExchangeState, ExchangeEvent> machine() {
        return machine;
    }

    boolean in(ExchangeState state) {
        return machine.isIn(state);
    }

    Set<ServerId> triedServers() {
        return triedServers;
    }

    long attemptNumber() {
        return attemptNumber;
    }

    int attemptCount() {
        return history.sends();
    }

    AttemptHistory history() {
        return history;
    }

    /** The attempt came back as not run. */
    void attemptNotRun(RequestFailure refusal) {
        history.ended(false);
        attemptUnresolved = false;
        triedServers.add(server);
        lastRefusal = refusal;
    }

    Optional<RequestFailure> lastRefusal() {
        return Optional.ofNullable(lastRefusal);
    }

    ServerId server() {
        return server;
    }

    long serverIncarnation() {
        return serverIncarnation;
    }

    /** Notes the agent that the next attempt goes to. */
    void assignServer(ServerId nextServer, long incarnation) {
        server = nextServer;
        serverIncarnation = incarnation;
    }

    void attemptSent(long number, Instant now) {
        attemptNumber = number;
        history.sent();
        attemptUnresolved = true;
        lastProgressAt = now;
        waitingSince = null;
    }

    /** Returns the execution under which the next attempt may run, if the request is non-idempotent. */
    Optional<Execution> execution() {
        if (idempotent()) {
            return Optional.empty();
        }
        if (claim != null) {
            return Optional.of(claim.execution());
        }
        return Optional.of(Execution.of(keyDigest(), generation));
    }

    /** Passes to the next generation of a request that has no claim. */
    void advanceGeneration() {
        generation++;
    }

    Optional<ClaimEntry> claim() {
        return Optional.ofNullable(claim);
    }

    void claim(ClaimEntry grantedClaim) {
        claim = grantedClaim;
    }

    /** Returns the entry of the call that holds this request's key, when it is another one. */
    Optional<ClaimEntry> followedClaim() {
        return Optional.ofNullable(followedClaim);
    }

    void followedClaim(ClaimEntry entry) {
        followedClaim = entry;
    }

    /** Returns the generation that the next claim has to replace. */
    long expectedGeneration() {
        if (followedClaim != null) {
            return followedClaim.generation();
        }
        return claim == null ? 0 : claim.generation();
    }

    long claimSequence() {
        return claimSequence;
    }

    void claimSequence(long next) {
        claimSequence = next;
    }

    /** Returns since when the exchange has been waiting for a home or an agent. */
    Instant waitingSince(Instant now) {
        if (waitingSince == null) {
            waitingSince = now;
        }
        return waitingSince;
    }

    /** Returns whether the agent in doubt was asked over the connection that is up now. */
    boolean attached() {
        return attached;
    }

    void attached(boolean next) {
        attached = next;
    }

    /** Counts the wait from an earlier moment, though another attempt was made since. */
    void restoreWaitingSince(Instant earlier) {
        waitingSince = earlier;
    }

    /** The attempt failed or is out of reach for good, and may have run. */
    void attemptMayHaveRun() {
        history.ended(true);
        attemptUnresolved = false;
    }

    /** The attempt in doubt turned out not to have run. */
    void confirmNotRun() {
        attemptUnresolved = false;
    }

    /** Returns whether an attempt is out whose fate is not known. */
    boolean attemptUnresolved() {
        return attemptUnresolved;
    }

    /** Returns whether any attempt may have run, in part or whole. */
    boolean mayHaveRun() {
        return attemptUnresolved || history.mayHaveRun() || anythingDelivered();
    }

    Instant lastQueriedAt() {
        return lastQueriedAt;
    }

    void lastQueriedAt(Instant at) {
        lastQueriedAt = at;
    }

    long deliveredUnits() {
        return deliveredUnits;
    }

    void delivered(long units, byte[] data, Instant now) {
        deliveredUnits += units;
        lastProgressAt = now;
        if (firstOutputAt == null) {
            firstOutputAt = now;
        }
        if (idempotent()) {
            delivered.writeBytes(data);
        }
    }

    /** Returns the text that the caller already has, for an engine to continue. */
    String deliveredText() {
        return delivered.toString(StandardCharsets.UTF_8);
    }

    /** Adds units that the caller took, and returns them once they are worth a message. */
    long creditDue(long units, long minUnits) {
        uncreditedUnits += units;
        if (uncreditedUnits < minUnits) {
            return 0;
        }
        long due = uncreditedUnits;
        uncreditedUnits = 0;
        return due;
    }

    boolean headSent() {
        return headSent;
    }

    void headSent(Instant now) {
        headSent = true;
        lastProgressAt = now;
        if (firstOutputAt == null) {
            firstOutputAt = now;
        }
    }

    /** Returns whether the caller has been given any part of an answer. */
    boolean anythingDelivered() {
        return headSent || deliveredUnits > 0;
    }

    Optional<Instant> firstOutputAt() {
        return Optional.ofNullable(firstOutputAt);
    }

    Instant lastProgressAt() {
        return lastProgressAt;
    }

    void recordProgress(Instant now) {
        lastProgressAt = now;
    }

    @Override
    public String toString() {
        return "request " + id() + " (" + profile.name() + ", " + machine.state() + ")";
    }
}
