package org.tanagerhinge.core.router;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.tanagerhinge.core.attempt.AttemptHistory;
import org.tanagerhinge.core.chart.Machine;
import org.tanagerhinge.core.chart.StateChart;
import org.tanagerhinge.core.config.Profile;
import org.tanagerhinge.core.config.Workspace;
import org.tanagerhinge.core.id.KeyDigest;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.id.TargetName;
import org.tanagerhinge.core.message.ClaimEntry;
import org.tanagerhinge.core.message.ClassTerms;
import org.tanagerhinge.core.message.Execution;
import org.tanagerhinge.core.message.Work;
import org.tanagerhinge.core.result.Refusal;

/** One caller's request at a router, from its arrival to its end. */
final class Exchange {
    private static final StateChart<ExchangeState, ExchangeEvent> CHART =
            StateChart.load("exchange", ExchangeState.class, ExchangeEvent.class);

    private final Arrival arrival;
    private final Workspace workspace;
    private final Profile profile;
    private final TargetName target;
    private final Instant arrived;
    private final long expectedUnits;
    private final Machine<ExchangeState, ExchangeEvent> machine = CHART.start();
    private final AttemptHistory history;
    private final Set<ServerId> tried = new HashSet<>();
    private final ByteArrayOutputStream delivered = new ByteArrayOutputStream();

    private long attempt;
    private ServerId server;
    private long serverIncarnation;
    private long generation;
    private ClaimEntry claim;
    private ClaimEntry followed;
    private long claimSequence;
    private Instant waitingSince;
    private Instant lastAsked = Instant.MIN;
    private long deliveredUnits;
    private long uncreditedUnits;
    private boolean headSent;
    private boolean fateOpen;
    private boolean attached;
    private Instant firstOutput;
    private Instant lastProgress;
    private Refusal lastRefusal;

    Exchange(
            Arrival arrival,
            Workspace workspace,
            Profile profile,
            TargetName target,
            Instant arrived,
            long expectedUnits,
            AttemptHistory history) {
        this.arrival = arrival;
        this.workspace = workspace;
        this.profile = profile;
        this.target = target;
        this.arrived = arrived;
        this.expectedUnits = expectedUnits;
        this.history = history;
    }

    RequestId id() {
        return arrival.id();
    }

    Arrival arrival() {
        return arrival;
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
        return !idempotent() && arrival.idempotencyKey().isPresent();
    }

    /** Returns the digest under which a non-idempotent request runs; one without a key gets its own. */
    KeyDigest digest() {
        String key = arrival.idempotencyKey().map(text -> "key " + text).orElseGet(() -> "request " + arrival.id());
        return KeyDigest.of(workspace.id(), target, key);
    }

    Work work() {
        return new Work(
                workspace.id(),
                profile.name(),
                ClassTerms.of(profile, workspace),
                target,
                arrival.call(),
                arrival.promptUnits());
    }

    Instant arrived() {
        return arrived;
    }

    Duration timeLeft(Instant now) {
        return profile.deadline().minus(Duration.between(arrived, now));
    }

    long expectedUnits() {
        return Math.max(1, expectedUnits - deliveredUnits);
    }

    Machine<ExchangeState, ExchangeEvent> machine() {
        return machine;
    }

    boolean in(ExchangeState state) {
        return machine.in(state);
    }

    Set<ServerId> tried() {
        return tried;
    }

    long attempt() {
        return attempt;
    }

    int attempts() {
        return history.sends();
    }

    AttemptHistory history() {
        return history;
    }

    /** The attempt came back as not run. */
    void returned(Refusal refusal) {
        history.ended(false);
        fateOpen = false;
        tried.add(server);
        lastRefusal = refusal;
    }

    Optional<Refusal> lastRefusal() {
        return Optional.ofNullable(lastRefusal);
    }

    ServerId server() {
        return server;
    }

    long serverIncarnation() {
        return serverIncarnation;
    }

    /** Notes the agent that the next attempt goes to. */
    void chosen(ServerId next, long incarnation) {
        server = next;
        serverIncarnation = incarnation;
    }

    void attemptMade(long number, Instant now) {
        attempt = number;
        history.sent();
        fateOpen = true;
        lastProgress = now;
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
        return Optional.of(Execution.of(digest(), generation));
    }

    /** Passes to the next generation of a request that has no claim. */
    void nextGeneration() {
        generation++;
    }

    Optional<ClaimEntry> claim() {
        return Optional.ofNullable(claim);
    }

    void claim(ClaimEntry granted) {
        claim = granted;
    }

    /** Returns the entry of the call that holds this request's key, when it is another one. */
    Optional<ClaimEntry> followed() {
        return Optional.ofNullable(followed);
    }

    void followed(ClaimEntry entry) {
        followed = entry;
    }

    /** Returns the generation that the next claim has to replace. */
    long expectedGeneration() {
        if (followed != null) {
            return followed.generation();
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
    void keepWaiting(Instant since) {
        waitingSince = since;
    }

    /** The attempt failed or is out of reach for good, and may have run. */
    void attemptLost() {
        history.ended(true);
        fateOpen = false;
    }

    /** The attempt in doubt turned out not to have run. */
    void settledAsNotRun() {
        fateOpen = false;
    }

    /** Returns whether an attempt is out whose fate is not known. */
    boolean fateOpen() {
        return fateOpen;
    }

    /** Returns whether any attempt may have run, in part or whole. */
    boolean mayHaveRun() {
        return fateOpen || history.mayHaveRun() || anythingDelivered();
    }

    Instant lastAsked() {
        return lastAsked;
    }

    void lastAsked(Instant now) {
        lastAsked = now;
    }

    long deliveredUnits() {
        return deliveredUnits;
    }

    void delivered(long units, byte[] data, Instant now) {
        deliveredUnits += units;
        lastProgress = now;
        if (firstOutput == null) {
            firstOutput = now;
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
    long creditDue(long units, long worth) {
        uncreditedUnits += units;
        if (uncreditedUnits < worth) {
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
        lastProgress = now;
        if (firstOutput == null) {
            firstOutput = now;
        }
    }

    /** Returns whether the caller has been given any part of an answer. */
    boolean anythingDelivered() {
        return headSent || deliveredUnits > 0;
    }

    Optional<Instant> firstOutput() {
        return Optional.ofNullable(firstOutput);
    }

    Instant lastProgress() {
        return lastProgress;
    }

    void progressed(Instant now) {
        lastProgress = now;
    }

    @Override
    public String toString() {
        return "request " + id() + " (" + profile.name() + ", " + machine.state() + ")";
    }
}
