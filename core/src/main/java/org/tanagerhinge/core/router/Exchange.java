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
import org.tanagerhinge.core.message.ClaimTerms;
import org.tanagerhinge.core.message.Execution;
import org.tanagerhinge.core.message.SchedulingParameters;
import org.tanagerhinge.core.message.StoredClaim;
import org.tanagerhinge.core.message.WorkItem;
import org.tanagerhinge.core.result.RequestFailure;

/** Tracks one caller's request at a router, from its arrival until it is answered or refused. */
final class Exchange {
    private static final StateChart<ExchangeState, ExchangeEvent> CHART =
            StateChart.load("exchange", ExchangeState.class, ExchangeEvent.class);
    private static final long NO_ATTEMPT = 0;

    /**
     * An attempt that has stalled, and goes on until another one that is to replace it produces output.
     *
     * @param uncreditedUnits units that the caller consumed and for which its agent has not been granted credit yet
     */
    record StalledAttempt(long number, ServerId server, long incarnation, long uncreditedUnits) {}

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
    private StoredClaim claim;
    private ClaimEntry followedClaim;
    private long claimSequence;
    private Instant waitingSince;
    private Instant lastQueriedAt = Instant.MIN;
    private long deliveredUnits;
    private long uncreditedUnits;
    private long unreadUnits;
    private StalledAttempt stalledAttempt;
    private String softwareVersion = "";
    private boolean headSent;
    private boolean attemptUnresolved;
    private boolean attached;
    private boolean onTrial;
    private Instant firstOutputAt;
    private Instant lastProgressAt;
    private RequestFailure lastFailure;

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

    /** Returns whether this is a non-idempotent request that its caller may retry under an idempotency key. */
    boolean keyed() {
        return !idempotent() && request.idempotencyKey().isPresent();
    }

    /**
     * Returns the digest under which a non-idempotent request runs; without a caller's key it is derived from the
     * request id.
     */
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
        return history.sendCount();
    }

    AttemptHistory history() {
        return history;
    }

    /** Records that the agent returned the attempt as not run. */
    void attemptNotRun(RequestFailure failure) {
        history.recordEnd(false);
        attemptUnresolved = false;
        triedServers.add(server);
        lastFailure = failure;
    }

    Optional<RequestFailure> lastFailure() {
        return Optional.ofNullable(lastFailure);
    }

    /** Returns the software version of the engine that began the answer; empty before, or if it states none. */
    String softwareVersion() {
        return softwareVersion;
    }

    void softwareVersion(String version) {
        softwareVersion = version;
    }

    /** Returns whether the next attempt continues an answer of which the caller has a part. */
    boolean resumes() {
        return idempotent() && deliveredUnits > 0;
    }

    ServerId server() {
        return server;
    }

    long serverIncarnation() {
        return serverIncarnation;
    }

    /** Sets the server that the next attempt is sent to. */
    void assignServer(ServerId nextServer, long incarnation) {
        server = nextServer;
        serverIncarnation = incarnation;
    }

    void attemptSent(long number, Instant now) {
        attemptNumber = number;
        history.recordSend();
        attemptUnresolved = true;
        lastProgressAt = now;
        waitingSince = null;
    }

    /** Keeps the newest attempt, which has stalled, while another server is to take it over. */
    void keepStalledAttempt() {
        stalledAttempt = new StalledAttempt(attemptNumber, server, serverIncarnation, uncreditedUnits);
        attemptNumber = NO_ATTEMPT;
        uncreditedUnits = 0;
        attemptMayHaveRun();
    }

    /** Returns the attempt that goes on until the newest one produces output, if any. */
    Optional<StalledAttempt> stalledAttempt() {
        return Optional.ofNullable(stalledAttempt);
    }

    boolean isStalledAttempt(long number) {
        return stalledAttempt != null && stalledAttempt.number() == number;
    }

    void forgetStalledAttempt() {
        stalledAttempt = null;
    }

    /** Makes the stalled attempt the newest one again, instead of the one that was to replace it. */
    void restoreStalledAttempt(Instant now) {
        attemptNumber = stalledAttempt.number();
        assignServer(stalledAttempt.server(), stalledAttempt.incarnation());
        uncreditedUnits = stalledAttempt.uncreditedUnits();
        attemptUnresolved = true;
        lastProgressAt = now;
        stalledAttempt = null;
    }

    /** Returns whether the newest or the stalled attempt is at a server. */
    boolean isAt(ServerId id) {
        return id.equals(server) || (stalledAttempt != null && id.equals(stalledAttempt.server()));
    }

    /** Returns the execution under which the next attempt may run; empty for an idempotent request. */
    Optional<Execution> execution() {
        if (idempotent()) {
            return Optional.empty();
        }
        if (claim != null) {
            return Optional.of(claim.entry().execution());
        }
        return Optional.of(Execution.of(keyDigest(), generation));
    }

    /** Advances the generation of a request that has no claim. */
    void advanceGeneration() {
        generation++;
    }

    Optional<ClaimEntry> claim() {
        return Optional.ofNullable(claim).map(StoredClaim::entry);
    }

    Optional<StoredClaim> storedClaim() {
        return Optional.ofNullable(claim);
    }

    /** Returns what the executor is told of the claim; empty if the request has none. */
    Optional<ClaimTerms> claimTerms() {
        return Optional.ofNullable(claim)
                .map(granted -> new ClaimTerms(granted.entry().bodyDigest(), granted.era()));
    }

    void claim(StoredClaim grantedClaim) {
        claim = grantedClaim;
    }

    /** Returns the claim of the other request that holds this request's idempotency key, if any. */
    Optional<ClaimEntry> followedClaim() {
        return Optional.ofNullable(followedClaim);
    }

    void followedClaim(ClaimEntry entry) {
        followedClaim = entry;
    }

    /** Returns the generation that the next claim must replace; 0 for a key not used before. */
    long expectedGeneration() {
        if (followedClaim != null) {
            return followedClaim.generation();
        }
        return claim == null ? 0 : claim.entry().generation();
    }

    long claimSequence() {
        return claimSequence;
    }

    void claimSequence(long next) {
        claimSequence = next;
    }

    /** Returns the time since which the exchange waits for a claim or an agent; sets it to the given time if unset. */
    Instant waitingSince(Instant now) {
        if (waitingSince == null) {
            waitingSince = now;
        }
        return waitingSince;
    }

    /** Returns whether the outcome was requested from the agent over its current connection. */
    boolean attached() {
        return attached;
    }

    void attached(boolean next) {
        attached = next;
    }

    /** Excludes a time in which the router did not run from the waits of this exchange. */
    void excludePause(Duration pause, Instant now) {
        if (lastProgressAt != null) {
            lastProgressAt = earlier(lastProgressAt.plus(pause), now);
        }
        if (waitingSince != null) {
            waitingSince = earlier(waitingSince.plus(pause), now);
        }
    }

    private static Instant earlier(Instant first, Instant second) {
        return first.isBefore(second) ? first : second;
    }

    /** Restores the start of the wait, which sending an attempt resets. */
    void restoreWaitingSince(Instant earlier) {
        waitingSince = earlier;
    }

    /** Records that the attempt failed or was lost, and may have run. */
    void attemptMayHaveRun() {
        history.recordEnd(true);
        attemptUnresolved = false;
    }

    /** Records that the unresolved attempt did not run. */
    void confirmNotRun() {
        attemptUnresolved = false;
    }

    /** Returns whether the newest attempt was sent and its outcome is not known. */
    boolean attemptUnresolved() {
        return attemptUnresolved;
    }

    /** Returns whether any attempt may have run, partly or completely. */
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
        unreadUnits += units;
        lastProgressAt = now;
        if (firstOutputAt == null) {
            firstOutputAt = now;
        }
        if (idempotent()) {
            delivered.writeBytes(data);
        }
    }

    /** Returns the text already delivered to the caller, from which another engine can resume. */
    String deliveredText() {
        return delivered.toString(StandardCharsets.UTF_8);
    }

    /** Records that the caller consumed units. */
    void recordRead(long units, Instant now) {
        unreadUnits = Math.max(0, unreadUnits - units);
        lastProgressAt = now;
    }

    /** Returns whether the caller has yet to consume a part of what was delivered. */
    boolean callerBehind() {
        return unreadUnits > 0;
    }

    /** Adds units that the caller consumed; returns all uncredited units once they reach the minimum, else zero. */
    long takeDueCredit(long units, long minUnits) {
        uncreditedUnits += units;
        if (uncreditedUnits < minUnits) {
            return 0;
        }
        long dueUnits = uncreditedUnits;
        uncreditedUnits = 0;
        return dueUnits;
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

    /** Returns whether any part of an answer was delivered to the caller. */
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

    /** Returns whether the current attempt shows whether something quarantined is at fault. */
    boolean onTrial() {
        return onTrial;
    }

    void onTrial(boolean isOnTrial) {
        onTrial = isOnTrial;
    }
}
