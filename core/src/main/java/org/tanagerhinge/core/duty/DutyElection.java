package org.tanagerhinge.core.duty;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.tanagerhinge.core.chart.StateChart;
import org.tanagerhinge.core.chart.StateMachine;

/**
 * Elects the holder of a duty with a lease in the metadata store, and tracks whether this node's ownership is still
 * valid.
 *
 * <p>The holder is the node that wrote the duty's key. The key is attached to the writer's lease and disappears with
 * it. The position of that write in the store's history is the fencing token, so each claim has a unique token. The
 * validity of a lease is counted from the time its last successful renewal was sent, and a renewal sent before the host
 * was suspended is not trusted. Candidates stand in order of preference: the most preferred one tries at once, each
 * further one after an additional delay.
 *
 * <p>A restore of the store from an older copy ends all claims and attempts, since the store may have lost them. No
 * node stands again before a lease that was valid until then has expired.
 */
final class DutyElection {
    private static final StateChart<DutyState, DutyEvent> CHART =
            StateChart.load("duty", DutyState.class, DutyEvent.class);
    /** Delay of an attempt for each peer with a higher preference. */
    private static final long CANDIDATE_DELAY_MILLIS = 400;
    /** The last fraction of the lease, one part in this many, is not used because calls take time to arrive. */
    private static final int LEASE_MARGIN_DIVISOR = 10;

    private static final int RENEWALS_PER_LEASE = 3;
    /** Change of the offset between the clocks above which the host counts as suspended or its clock as stepped. */
    private static final long MAX_CLOCK_DIVERGENCE_MILLIS = 250;

    private static final int MAX_RECENT_HOLDERS = 8;
    /** Time after which an attempt has failed; it makes four calls. */
    private static final long MAX_ATTEMPT_MILLIS = 2 * PendingCall.LOST_AFTER_MILLIS;

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
    private final StateMachine<DutyState, DutyEvent> machine = CHART.newStateMachine();
    /** Increases whenever the duty is lost, so that callbacks of earlier calls are ignored. */
    private long epoch;

    private long claimCount;
    private final long startedAtMillis;
    private long lastUnansweredCallMillis = Long.MIN_VALUE;

    private long cooldownEndMillis;
    private long nextAttemptMillis;
    private long backoffMillis = INITIAL_BACKOFF_MILLIS;
    private long vacantSinceMillis;
    /** Era of the store in which the current lease was granted. */
    private long era;

    private long leaseId;
    private long fencingToken;
    private long leaseValidUntilMillis;
    private long renewalClockOffsetMillis;
    private long nextRenewalMillis;
    private final PendingCall renewal = new PendingCall();
    private long attemptStartedAtMillis;
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
        // A previous process with this node name may have made calls just before; they would count as this holder's.
        this.startedAtMillis = clock.steadyMillis();
        this.cooldownEndMillis = clock.steadyMillis() + settings.cooldownMillis();
        this.vacantSinceMillis = clock.steadyMillis();
        this.era = client.storeEra();
    }

    boolean isHolder() {
        return machine.isIn(DutyState.HOLDING);
    }

    boolean isStopped() {
        return machine.isIn(DutyState.STOPPED);
    }

    /** Returns the fencing token if this node is the holder, 0 otherwise. */
    long fencingToken() {
        return isHolder() ? fencingToken : 0;
    }

    /** Returns how long the lease is certain to be valid, in milliseconds; 0 if it may have expired. */
    long remainingLeaseMillis() {
        return clock.steadyMillis() < leaseValidUntilMillis && !clocksDiverged() && era == client.storeEra()
                ? leaseValidUntilMillis - clock.steadyMillis()
                : 0;
    }

    /** Returns whether this node may make calls as the holder now. */
    boolean canCall() {
        return isHolder() && remainingLeaseMillis() > 0 && clock.steadyMillis() >= callsAllowedFromMillis;
    }

    /**
     * Starts an election attempt or renews the lease if due.
     *
     * @param peers the other nodes
     * @param preference rank of this node as a candidate, 0 if it is no candidate
     */
    void tick(List<DutyPeer> peers, int preference) {
        observeEra();
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
                    relinquish("a peer announced a higher fencing token");
                } else if (!renewal.inFlight(nowMillis) && (nowMillis >= nextRenewalMillis || clocksDiverged())) {
                    renewLease();
                }
            }
            case LEASING, CLAIMING, READING -> {
                if (nowMillis - attemptStartedAtMillis > MAX_ATTEMPT_MILLIS) {
                    relinquish("a call of the attempt has got no reply");
                }
            }
            case STOPPED -> {}
        }
    }

    /**
     * Gives up what an earlier era of the store granted. Its lease id may be another node's now, so it is not revoked.
     */
    void observeEra() {
        if (era == client.storeEra()) {
            return;
        }
        era = client.storeEra();
        relinquish("the store was restored from an older copy", false);
        cooldownEndMillis = Math.max(cooldownEndMillis, clock.steadyMillis() + settings.leaseMillis());
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

    // ---- election

    private void startAttempt() {
        machine.fire(DutyEvent.ASK);
        attemptStartedAtMillis = clock.steadyMillis();
        client.readRecord(inCurrentEpoch(outcome -> {
            switch (outcome) {
                case CallOutcome.Completed<DutyRecord>(DutyRecord dutyRecord) -> {
                    if (dutyRecord.ownership().isPresent()) {
                        relinquish("held by " + dutyRecord.ownership().get().claim());
                    } else if (predecessorCallsMayBePending(dutyRecord.recentHolders())) {
                        relinquish("calls of a previous process of this node may still be pending");
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
     * Returns whether calls of a previous process of this node may still be pending although another node has held
     * the duty since. Calls with this node's name would then be executed both before and after the other holder's
     * calls.
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
        client.grantLease(settings.leaseMillis(), outcome -> {
            observeEra();
            if (outcome instanceof CallOutcome.Completed<Long>(Long grantedLeaseId)) {
                if (callEpoch != epoch) {
                    client.revokeLease(grantedLeaseId);
                    return;
                }
                leaseId = grantedLeaseId;
                extendLease(sentAtMillis, sentClockOffsetMillis);
                machine.fire(DutyEvent.GRANTED);
                writeClaim(recentHolders);
            } else if (callEpoch == epoch) {
                relinquish("store granted no lease");
            }
        });
    }

    private void writeClaim(List<String> recentHolders) {
        String claim = claimPrefix + "/" + ++claimCount;
        long claimLeaseId = leaseId;
        long claimEra = era;
        long callEpoch = epoch;
        List<String> holders = new ArrayList<>(recentHolders);
        holders.add(settings.node());
        List<String> newestHolders =
                List.copyOf(holders.subList(Math.max(0, holders.size() - MAX_RECENT_HOLDERS), holders.size()));
        client.claim(claim, claimLeaseId, newestHolders, outcome -> {
            observeEra();
            if (callEpoch != epoch) {
                if (claimEra == era) {
                    client.revokeLease(claimLeaseId);
                }
                return;
            }
            if (outcome instanceof CallOutcome.Completed<Boolean>(Boolean written) && !written) {
                abandonClaim("claim not written: another node holds the duty or the store rejected the write");
            } else {
                machine.fire(DutyEvent.ASKED);
                confirmClaim(claim);
            }
        });
    }

    /**
     * Reads the record back to confirm the claim, since the write may have got no answer, and to learn the revision
     * of the key as the fencing token. A claim that is executed later is still bounded by its lease.
     */
    private void confirmClaim(String claim) {
        client.readRecord(inCurrentEpoch(outcome -> {
            switch (outcome) {
                case CallOutcome.Completed<DutyRecord>(DutyRecord dutyRecord) -> {
                    Optional<DutyRecord.Ownership> ownClaim = dutyRecord
                            .ownership()
                            .filter(ownership -> ownership.claim().equals(claim));
                    if (ownClaim.isPresent()) {
                        fencingToken = ownClaim.get().fencingToken();
                        becomeHolder(dutyRecord);
                    } else {
                        abandonClaim("claim not found in the store");
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

    // ---- ownership

    private void renewLease() {
        renewal.sent(clock.steadyMillis());
        long sentAtMillis = clock.steadyMillis();
        long sentClockOffsetMillis = clockOffsetMillis();
        client.renewLease(leaseId, inCurrentEpoch(outcome -> {
            renewal.ended();
            switch (outcome) {
                case CallOutcome.Completed<Boolean>(Boolean renewed) -> {
                    if (renewed) {
                        extendLease(sentAtMillis, sentClockOffsetMillis);
                    } else {
                        relinquish("lease expired in the store");
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

    /** Records that a call of the holder, sent at a steady time, got no answer and may still be executed. */
    void recordUnansweredCall(long sentAtMillis) {
        lastUnansweredCallMillis = Math.max(lastUnansweredCallMillis, sentAtMillis);
    }

    /**
     * Gives up ownership or the current election attempt. A former holder revokes its lease, so that a successor need
     * not wait for the lease to expire, and observes a cooldown.
     */
    void relinquish(String reason) {
        relinquish(reason, true);
    }

    private void relinquish(String reason, boolean revoke) {
        boolean wasHolder = isHolder();
        if (isStopped() || machine.isIn(DutyState.IDLE)) {
            return;
        }
        long nowMillis = clock.steadyMillis();
        machine.fire(DutyEvent.LOSE);
        epoch++;
        renewal.ended();
        vacantSinceMillis = nowMillis;
        nextAttemptMillis = nowMillis + backoffMillis / 2 + random.nextLong(backoffMillis);
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
        if (wasHolder) {
            cooldownEndMillis = nowMillis + settings.cooldownMillis();
            if (lastUnansweredCallMillis > nowMillis - settings.maxCallDelayMillis()) {
                cooldownEndMillis += lastUnansweredCallMillis + settings.maxCallDelayMillis() - nowMillis;
            }
            if (revoke) {
                client.revokeLease(leaseId);
            }
            onLost.run();
            listener.dutyLost(fencingToken, reason);
        }
    }

    /** Gives up ownership for good because the process shuts down. */
    void stop(UsageTally tally) {
        if (isStopped()) {
            return;
        }
        boolean wasHolder = isHolder();
        machine.fire(DutyEvent.STOP);
        epoch++;
        if (wasHolder) {
            listener.dutyLost(fencingToken, "stops");
            client.release(fencingToken, tally, () -> client.revokeLease(leaseId));
        }
    }

    /** Returns a callback that is ignored once the duty was lost or the node has stopped. */
    private <T> Consumer<CallOutcome<T>> inCurrentEpoch(Consumer<CallOutcome<T>> callback) {
        long callEpoch = epoch;
        return outcome -> {
            observeEra();
            if (callEpoch == epoch) {
                callback.accept(outcome);
            }
        };
    }
}
