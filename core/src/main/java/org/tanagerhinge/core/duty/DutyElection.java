package org.tanagerhinge.core.duty;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.tanagerhinge.core.chart.Machine;
import org.tanagerhinge.core.chart.StateChart;

/**
 * Whether this node holds the duty, and whether it can prove that it still does.
 *
 * <p>The duty belongs to whoever wrote the store's key for it, which exists only for as long as the writer's lease runs; the
 * revision of that write is the fencing token, so no two claims ever have the same one. A holder counts its lease from the
 * sending of its newest renewal that was answered, and trusts none that was sent before its host seems to have been suspended.
 * There is no timer by which all nodes try: the node with the most power tries at once, each next one a moment later.
 */
final class DutyElection {
    private static final StateChart<DutyState, DutyEvent> CHART =
            StateChart.load("duty", DutyState.class, DutyEvent.class);
    /** Time by which a node waits for each one that could bear the duty better, in milliseconds. */
    private static final long CANDIDATE_DELAY_MILLIS = 400;
    /** Share of the lease that is left unused, for the time that a call is on its way. */
    private static final int LEASE_MARGIN_DIVISOR = 10;
    /** Renewals in the time of one lease. */
    private static final int RENEWALS_PER_LEASE = 3;
    /** Difference between the clocks' advances that shows that the host was suspended or its clock stepped, in milliseconds. */
    private static final long MAX_CLOCK_DIVERGENCE_MILLIS = 250;

    /** Holders that are remembered. */
    private static final int MAX_RECENT_HOLDERS = 8;

    private static final long INITIAL_BACKOFF_MILLIS = 400;
    private static final long MAX_BACKOFF_MILLIS = 4_000;

    private final DutySettings settings;
    private final NodeClock clock;
    private final DutyClient client;
    private final RandomGenerator random;
    private final DutyListener listener;
    private final Consumer<DutyRecord> onAcquired;
    private final Runnable onLost;
    private final String claimPrefix;
    private final Machine<DutyState, DutyEvent> machine = CHART.start();
    /** Callbacks of calls that were made before the duty was lost last are not heard any more. */
    private long epoch;

    private long claimCount;
    private final long startedAtMillis;
    /** When the newest call was sent that had no answer. */
    private long lastUnansweredCallMillis = Long.MIN_VALUE;

    private long cooldownEndMillis;
    private long nextAttemptMillis;
    private long backoffMillis = INITIAL_BACKOFF_MILLIS;
    private long vacantSinceMillis;
    private long leaseId;
    private long fencingToken;
    private long leaseValidUntilMillis;
    private long renewalClockOffsetMillis;
    private long nextRenewalMillis;
    private boolean renewalInFlight;
    private long callsAllowedFromMillis;

    DutyElection(
            DutySettings settings,
            NodeClock clock,
            DutyClient client,
            RandomGenerator random,
            DutyListener listener,
            long incarnation,
            Consumer<DutyRecord> onAcquired,
            Runnable onLost) {
        this.settings = settings;
        this.clock = clock;
        this.client = client;
        this.random = random;
        this.listener = listener;
        this.onAcquired = onAcquired;
        this.onLost = onLost;
        this.claimPrefix = settings.node() + "/" + Long.toHexString(incarnation);
        // A process that ended under this name may have acted just now: it counts as the same holder.
        this.startedAtMillis = clock.steadyMillis();
        this.cooldownEndMillis = clock.steadyMillis() + settings.cooldownMillis();
        this.vacantSinceMillis = clock.steadyMillis();
    }

    boolean isHolder() {
        return machine.in(DutyState.HOLDING);
    }

    boolean isStopped() {
        return machine.in(DutyState.STOPPED);
    }

    /** Returns the fencing token of a node that holds the duty, 0 of any other. */
    long fencingToken() {
        return isHolder() ? fencingToken : 0;
    }

    /** Returns for how long the lease is proven, in milliseconds. */
    long remainingLeaseMillis() {
        return clock.steadyMillis() < leaseValidUntilMillis && !clocksDiverged()
                ? leaseValidUntilMillis - clock.steadyMillis()
                : 0;
    }

    /** Returns whether the duty's calls may be made now. */
    boolean canCall() {
        return isHolder() && remainingLeaseMillis() > 0 && clock.steadyMillis() >= callsAllowedFromMillis;
    }

    /**
     * Does what is due.
     *
     * @param others the other nodes
     * @param power how much this node is to be preferred, 0 if it takes no duty
     */
    void tick(List<DutyPeer> peers, int preference) {
        long nowMillis = clock.steadyMillis();
        long peerToken = highestToken(peers);
        if (peerToken > 0) {
            vacantSinceMillis = nowMillis;
        }
        switch (machine.state()) {
            case IDLE -> {
                if (peerToken == 0
                        && preference > 0
                        && nowMillis >= cooldownEndMillis
                        && nowMillis >= nextAttemptMillis
                        && isOwnTurn(peers, preference, nowMillis)) {
                    startAttempt();
                }
            }
            case HOLDING -> {
                if (peerToken > fencingToken) {
                    relinquish("a peer has a higher token");
                } else if (!renewalInFlight && (nowMillis >= nextRenewalMillis || clocksDiverged())) {
                    renewLease();
                }
            }
            case LEASING, CLAIMING, READING, STOPPED -> {}
        }
    }

    private static long highestToken(List<DutyPeer> peers) {
        return peers.stream()
                .filter(DutyPeer::alive)
                .mapToLong(peer -> peer.announcement().fencingToken())
                .max()
                .orElse(0);
    }

    private boolean isOwnTurn(List<DutyPeer> peers, int preference, long nowMillis) {
        long preferredPeers = peers.stream()
                .filter(peer -> peer.alive() && isPreferred(peer, preference))
                .count();
        return nowMillis - vacantSinceMillis >= preferredPeers * CANDIDATE_DELAY_MILLIS;
    }

    private boolean isPreferred(DutyPeer peer, int ownPreference) {
        int peerPreference = peer.announcement().preference();
        return peerPreference > ownPreference
                || (peerPreference == ownPreference && peer.name().compareTo(settings.node()) < 0);
    }

    // ---- becoming the holder

    private void startAttempt() {
        machine.fire(DutyEvent.ASK);
        client.readRecord(inCurrentEpoch(reply -> {
            switch (reply) {
                case CallOutcome.Completed<DutyRecord>(DutyRecord dutyRecord) -> {
                    if (dutyRecord.ownership().isPresent()) {
                        relinquish("held by " + dutyRecord.ownership().get().claim());
                    } else if (predecessorCallsMayBePending(dutyRecord.recentHolders())) {
                        relinquish("a process before this one held it");
                        nextAttemptMillis = startedAtMillis + settings.maxCallDelayMillis();
                    } else {
                        requestLease(dutyRecord.recentHolders());
                    }
                }
                case CallOutcome.Unknown<DutyRecord>(String reason) -> relinquish(reason);
            }
        }));
    }

    /**
     * Returns whether a process before this one on its host may have calls that are still to be carried out, and another host
     * has held the duty since: its calls and those of this one would stand on both sides of the other's.
     */
    private boolean predecessorCallsMayBePending(List<String> recentHolders) {
        return clock.steadyMillis() - startedAtMillis < settings.maxCallDelayMillis()
                && recentHolders.contains(settings.node())
                && !recentHolders.get(recentHolders.size() - 1).equals(settings.node());
    }

    private void requestLease(List<String> recentHolders) {
        long sentAtMillis = clock.steadyMillis();
        long sentClockOffsetMillis = clockOffsetMillis();
        long callEpoch = epoch;
        client.grantLease(settings.leaseMillis(), reply -> {
            if (reply instanceof CallOutcome.Completed<Long>(Long grantedLeaseId)) {
                if (callEpoch != epoch) {
                    client.revokeLease(grantedLeaseId);
                    return;
                }
                leaseId = grantedLeaseId;
                extendLease(sentAtMillis, sentClockOffsetMillis);
                machine.fire(DutyEvent.GRANTED);
                writeClaim(recentHolders);
            } else if (callEpoch == epoch) {
                relinquish("no lease");
            }
        });
    }

    private void writeClaim(List<String> recentHolders) {
        String claim = claimPrefix + "/" + ++claimCount;
        long claimLeaseId = leaseId;
        long callEpoch = epoch;
        List<String> holders = new ArrayList<>(recentHolders);
        holders.add(settings.node());
        List<String> newestHolders =
                List.copyOf(holders.subList(Math.max(0, holders.size() - MAX_RECENT_HOLDERS), holders.size()));
        client.claim(claim, claimLeaseId, newestHolders, reply -> {
            if (callEpoch != epoch) {
                client.revokeLease(claimLeaseId);
                return;
            }
            if (reply instanceof CallOutcome.Completed<Boolean>(Boolean written) && !written) {
                abandonClaim("another node was first");
            } else {
                machine.fire(DutyEvent.ASKED);
                confirmClaim(claim);
            }
        });
    }

    /**
     * Reads who holds the duty: the claim may have had no answer, and its revision is that of the key, whatever else the same
     * write has changed. A claim that is carried out later still holds for no longer than its lease.
     */
    private void confirmClaim(String claim) {
        client.readRecord(inCurrentEpoch(reply -> {
            switch (reply) {
                case CallOutcome.Completed<DutyRecord>(DutyRecord dutyRecord) -> {
                    Optional<DutyRecord.Ownership> ownClaim = dutyRecord
                            .ownership()
                            .filter(ownership -> ownership.claim().equals(claim));
                    if (ownClaim.isPresent()) {
                        fencingToken = ownClaim.get().fencingToken();
                        becomeHolder(dutyRecord);
                    } else {
                        abandonClaim("claim was not carried out");
                    }
                }
                case CallOutcome.Unknown<DutyRecord>(String reason) -> abandonClaim(reason);
            }
        }));
    }

    private void becomeHolder(DutyRecord dutyRecord) {
        backoffMillis = INITIAL_BACKOFF_MILLIS;
        callsAllowedFromMillis =
                clock.steadyMillis() + (settings.fencingEnforced() ? 0 : settings.maxCallDelayMillis());
        onAcquired.accept(dutyRecord);
        machine.fire(DutyEvent.CLAIMED);
        listener.dutyAcquired(fencingToken);
    }

    private void abandonClaim(String reason) {
        client.revokeLease(leaseId);
        relinquish(reason);
    }

    // ---- being the holder

    private void renewLease() {
        renewalInFlight = true;
        long sentAtMillis = clock.steadyMillis();
        long sentClockOffsetMillis = clockOffsetMillis();
        client.renewLease(leaseId, inCurrentEpoch(reply -> {
            renewalInFlight = false;
            switch (reply) {
                case CallOutcome.Completed<Boolean>(Boolean renewed) -> {
                    if (renewed) {
                        extendLease(sentAtMillis, sentClockOffsetMillis);
                    } else {
                        relinquish("its lease has ended");
                    }
                }
                case CallOutcome.Unknown<Boolean> unknown ->
                    nextRenewalMillis = clock.steadyMillis() + settings.leaseMillis() / RENEWALS_PER_LEASE / 2;
            }
        }));
    }

    private void extendLease(long sentAtMillis, long sentClockOffsetMillis) {
        leaseValidUntilMillis = sentAtMillis + settings.leaseMillis() - settings.leaseMillis() / LEASE_MARGIN_DIVISOR;
        renewalClockOffsetMillis = sentClockOffsetMillis;
        nextRenewalMillis = sentAtMillis + settings.leaseMillis() / RENEWALS_PER_LEASE;
    }

    private long clockOffsetMillis() {
        return clock.wallClockMillis() - clock.steadyMillis();
    }

    private boolean clocksDiverged() {
        return Math.abs(clockOffsetMillis() - renewalClockOffsetMillis) > MAX_CLOCK_DIVERGENCE_MILLIS;
    }

    /** A call of the duty, sent at a steady time, had no answer. */
    void recordUnansweredCall(long sentAtMillis) {
        lastUnansweredCallMillis = Math.max(lastUnansweredCallMillis, sentAtMillis);
    }

    /**
     * Ends the holding, or the try to hold. A node that held the duty leaves it alone for a while, and ends what is left of
     * its lease, so that another one needn't wait for that.
     */
    void relinquish(String reason) {
        boolean wasHolder = isHolder();
        if (isStopped() || machine.in(DutyState.IDLE)) {
            return;
        }
        long nowMillis = clock.steadyMillis();
        machine.fire(DutyEvent.LOSE);
        epoch++;
        renewalInFlight = false;
        vacantSinceMillis = nowMillis;
        nextAttemptMillis = nowMillis + backoffMillis / 2 + random.nextLong(backoffMillis);
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
        if (wasHolder) {
            cooldownEndMillis = nowMillis + settings.cooldownMillis();
            if (lastUnansweredCallMillis > nowMillis - settings.maxCallDelayMillis()) {
                cooldownEndMillis += lastUnansweredCallMillis + settings.maxCallDelayMillis() - nowMillis;
            }
            client.revokeLease(leaseId);
            onLost.run();
            listener.dutyLost(fencingToken, reason);
        }
    }

    /** Gives the duty back for good: the process stops. */
    void stop(List<UsageReport> reports) {
        if (isStopped()) {
            return;
        }
        boolean wasHolder = isHolder();
        machine.fire(DutyEvent.STOP);
        epoch++;
        if (wasHolder) {
            listener.dutyLost(fencingToken, "stops");
            client.release(fencingToken, reports, () -> client.revokeLease(leaseId));
        }
    }

    /** Returns a callback that isn't heard once the duty was lost or the node has stopped. */
    private <T> Consumer<CallOutcome<T>> inCurrentEpoch(Consumer<CallOutcome<T>> callback) {
        long callEpoch = epoch;
        return reply -> {
            if (callEpoch == epoch) {
                callback.accept(reply);
            }
        };
    }
}
