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
final class DutyHolding {
    private static final StateChart<DutyState, DutyEvent> CHART =
            StateChart.load("duty", DutyState.class, DutyEvent.class);
    /** Time by which a node waits for each one that could bear the duty better, in milliseconds. */
    private static final long TURN_MILLIS = 400;
    /** Share of the lease that is left unused, for the time that a call is on its way. */
    private static final int MARGIN = 10;
    /** Renewals in the time of one lease. */
    private static final int RENEWALS = 3;
    /** Difference between the clocks' advances that shows that the host was suspended or its clock stepped, in milliseconds. */
    private static final long JUMP_MILLIS = 250;

    /** Holders that are remembered. */
    private static final int MOST_HOLDERS = 8;

    private static final long FIRST_BACKOFF_MILLIS = 400;
    private static final long LONGEST_BACKOFF_MILLIS = 4_000;

    private final DutySettings terms;
    private final NodeClock clock;
    private final DutyClient port;
    private final RandomGenerator random;
    private final DutyListener listener;
    private final Consumer<DutyRecord> takeOver;
    private final Runnable lost;
    private final String claimant;
    private final Machine<DutyState, DutyEvent> machine = CHART.start();
    /** Callbacks of calls that were made before the duty was lost last are not heard any more. */
    private long epoch;

    private long claims;
    private final long startedAt;
    /** When the newest call was sent that had no answer. */
    private long unansweredAt = Long.MIN_VALUE;

    private long notBefore;
    private long nextTry;
    private long backoff = FIRST_BACKOFF_MILLIS;
    private long unheldSince;
    private long lease;
    private long token;
    private long provenUntil;
    private long provenOffset;
    private long nextRenewal;
    private boolean renewing;
    private long actFrom;

    DutyHolding(
            DutySettings terms,
            NodeClock clock,
            DutyClient port,
            RandomGenerator random,
            DutyListener listener,
            long incarnation,
            Consumer<DutyRecord> takeOver,
            Runnable lost) {
        this.terms = terms;
        this.clock = clock;
        this.port = port;
        this.random = random;
        this.listener = listener;
        this.takeOver = takeOver;
        this.lost = lost;
        this.claimant = terms.node() + "/" + Long.toHexString(incarnation);
        // A process that ended under this name may have acted just now: it counts as the same holder.
        this.startedAt = clock.steadyMillis();
        this.notBefore = clock.steadyMillis() + terms.cooldownMillis();
        this.unheldSince = clock.steadyMillis();
    }

    boolean holds() {
        return machine.in(DutyState.HOLDING);
    }

    boolean stopped() {
        return machine.in(DutyState.STOPPED);
    }

    /** Returns the fencing token of a node that holds the duty, 0 of any other. */
    long token() {
        return holds() ? token : 0;
    }

    /** Returns for how long the lease is proven, in milliseconds. */
    long leaseLeftMillis() {
        return clock.steadyMillis() < provenUntil && !jumped() ? provenUntil - clock.steadyMillis() : 0;
    }

    /** Returns whether the duty's calls may be made now. */
    boolean mayCall() {
        return holds() && leaseLeftMillis() > 0 && clock.steadyMillis() >= actFrom;
    }

    /**
     * Does what is due.
     *
     * @param others the other nodes
     * @param power how much this node is to be preferred, 0 if it takes no duty
     */
    void step(List<DutyPeer> others, int power) {
        long now = clock.steadyMillis();
        long heard = highestToken(others);
        if (heard > 0) {
            unheldSince = now;
        }
        switch (machine.state()) {
            case IDLE -> {
                if (heard == 0 && power > 0 && now >= notBefore && now >= nextTry && itsTurn(others, power, now)) {
                    ask();
                }
            }
            case HOLDING -> {
                if (heard > token) {
                    lose("a peer has a higher token");
                } else if (!renewing && (now >= nextRenewal || jumped())) {
                    renew();
                }
            }
            case LEASING, CLAIMING, READING, STOPPED -> {}
        }
    }

    private static long highestToken(List<DutyPeer> others) {
        return others.stream()
                .filter(DutyPeer::alive)
                .mapToLong(peer -> peer.announcement().fencingToken())
                .max()
                .orElse(0);
    }

    private boolean itsTurn(List<DutyPeer> others, int power, long now) {
        long better = others.stream()
                .filter(peer -> peer.alive() && better(peer, power))
                .count();
        return now - unheldSince >= better * TURN_MILLIS;
    }

    private boolean better(DutyPeer peer, int power) {
        int other = peer.announcement().preference();
        return other > power || (other == power && peer.name().compareTo(terms.node()) < 0);
    }

    // ---- becoming the holder

    private void ask() {
        machine.fire(DutyEvent.ASK);
        port.readRecord(hearing(reply -> {
            switch (reply) {
                case CallOutcome.Completed<DutyRecord>(DutyRecord found) -> {
                    if (found.ownership().isPresent()) {
                        lose("held by " + found.ownership().get().claim());
                    } else if (heldBeforeAnother(found.recentHolders())) {
                        lose("a process before this one held it");
                        nextTry = startedAt + terms.maxCallDelayMillis();
                    } else {
                        askLease(found.recentHolders());
                    }
                }
                case CallOutcome.Unknown<DutyRecord>(String why) -> lose(why);
            }
        }));
    }

    /**
     * Returns whether a process before this one on its host may have calls that are still to be carried out, and another host
     * has held the duty since: its calls and those of this one would stand on both sides of the other's.
     */
    private boolean heldBeforeAnother(List<String> holders) {
        return clock.steadyMillis() - startedAt < terms.maxCallDelayMillis()
                && holders.contains(terms.node())
                && !holders.get(holders.size() - 1).equals(terms.node());
    }

    private void askLease(List<String> holders) {
        long sent = clock.steadyMillis();
        long offset = offset();
        long asked = epoch;
        port.grantLease(terms.leaseMillis(), reply -> {
            if (reply instanceof CallOutcome.Completed<Long>(Long granted)) {
                if (asked != epoch) {
                    port.revokeLease(granted);
                    return;
                }
                lease = granted;
                proven(sent, offset);
                machine.fire(DutyEvent.GRANTED);
                claim(holders);
            } else if (asked == epoch) {
                lose("no lease");
            }
        });
    }

    private void claim(List<String> holders) {
        String claim = claimant + "/" + ++claims;
        long claimed = lease;
        long asked = epoch;
        List<String> newer = new ArrayList<>(holders);
        newer.add(terms.node());
        List<String> kept = List.copyOf(newer.subList(Math.max(0, newer.size() - MOST_HOLDERS), newer.size()));
        port.claim(claim, claimed, kept, reply -> {
            if (asked != epoch) {
                port.revokeLease(claimed);
                return;
            }
            if (reply instanceof CallOutcome.Completed<Boolean>(Boolean written) && !written) {
                abandon("another node was first");
            } else {
                machine.fire(DutyEvent.ASKED);
                findOut(claim);
            }
        });
    }

    /**
     * Reads who holds the duty: the claim may have had no answer, and its revision is that of the key, whatever else the same
     * write has changed. A claim that is carried out later still holds for no longer than its lease.
     */
    private void findOut(String claim) {
        port.readRecord(hearing(reply -> {
            switch (reply) {
                case CallOutcome.Completed<DutyRecord>(DutyRecord found) -> {
                    Optional<DutyRecord.Ownership> own =
                            found.ownership().filter(holding -> holding.claim().equals(claim));
                    if (own.isPresent()) {
                        token = own.get().fencingToken();
                        begin(found);
                    } else {
                        abandon("claim was not carried out");
                    }
                }
                case CallOutcome.Unknown<DutyRecord>(String why) -> abandon(why);
            }
        }));
    }

    private void begin(DutyRecord found) {
        backoff = FIRST_BACKOFF_MILLIS;
        actFrom = clock.steadyMillis() + (terms.fencingEnforced() ? 0 : terms.maxCallDelayMillis());
        takeOver.accept(found);
        machine.fire(DutyEvent.CLAIMED);
        listener.dutyAcquired(token);
    }

    private void abandon(String why) {
        port.revokeLease(lease);
        lose(why);
    }

    // ---- being the holder

    private void renew() {
        renewing = true;
        long sent = clock.steadyMillis();
        long offset = offset();
        port.renewLease(lease, hearing(reply -> {
            renewing = false;
            switch (reply) {
                case CallOutcome.Completed<Boolean>(Boolean runs) -> {
                    if (runs) {
                        proven(sent, offset);
                    } else {
                        lose("its lease has ended");
                    }
                }
                case CallOutcome.Unknown<Boolean> unknown ->
                    nextRenewal = clock.steadyMillis() + terms.leaseMillis() / RENEWALS / 2;
            }
        }));
    }

    private void proven(long sent, long offset) {
        provenUntil = sent + terms.leaseMillis() - terms.leaseMillis() / MARGIN;
        provenOffset = offset;
        nextRenewal = sent + terms.leaseMillis() / RENEWALS;
    }

    private long offset() {
        return clock.wallClockMillis() - clock.steadyMillis();
    }

    private boolean jumped() {
        return Math.abs(offset() - provenOffset) > JUMP_MILLIS;
    }

    /** A call of the duty, sent at a steady time, had no answer. */
    void unanswered(long sentAt) {
        unansweredAt = Math.max(unansweredAt, sentAt);
    }

    /**
     * Ends the holding, or the try to hold. A node that held the duty leaves it alone for a while, and ends what is left of
     * its lease, so that another one needn't wait for that.
     */
    void lose(String why) {
        boolean held = holds();
        if (stopped() || machine.in(DutyState.IDLE)) {
            return;
        }
        long now = clock.steadyMillis();
        machine.fire(DutyEvent.LOSE);
        epoch++;
        renewing = false;
        unheldSince = now;
        nextTry = now + backoff / 2 + random.nextLong(backoff);
        backoff = Math.min(LONGEST_BACKOFF_MILLIS, backoff * 2);
        if (held) {
            notBefore = now + terms.cooldownMillis();
            if (unansweredAt > now - terms.maxCallDelayMillis()) {
                notBefore += unansweredAt + terms.maxCallDelayMillis() - now;
            }
            port.revokeLease(lease);
            lost.run();
            listener.dutyLost(token, why);
        }
    }

    /** Gives the duty back for good: the process stops. */
    void stop(List<UsageReport> tally) {
        if (stopped()) {
            return;
        }
        boolean held = holds();
        machine.fire(DutyEvent.STOP);
        epoch++;
        if (held) {
            listener.dutyLost(token, "stops");
            port.release(token, tally, () -> port.revokeLease(lease));
        }
    }

    /** Returns a callback that isn't heard once the duty was lost or the node has stopped. */
    private <T> Consumer<CallOutcome<T>> hearing(Consumer<CallOutcome<T>> taker) {
        long asked = epoch;
        return reply -> {
            if (asked == epoch) {
                taker.accept(reply);
            }
        };
    }
}
