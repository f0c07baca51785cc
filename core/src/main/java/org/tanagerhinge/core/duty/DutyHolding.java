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

    private final DutyTerms terms;
    private final DutyClock clock;
    private final DutyPort port;
    private final RandomGenerator random;
    private final DutyListener listener;
    private final Consumer<UsageRecord> takeOver;
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
            DutyTerms terms,
            DutyClock clock,
            DutyPort port,
            RandomGenerator random,
            DutyListener listener,
            long incarnation,
            Consumer<UsageRecord> takeOver,
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
        this.notBefore = clock.steadyMillis() + terms.restMillis();
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
                .filter(DutyPeer::present)
                .mapToLong(peer -> peer.word().token())
                .max()
                .orElse(0);
    }

    private boolean itsTurn(List<DutyPeer> others, int power, long now) {
        long better = others.stream()
                .filter(peer -> peer.present() && better(peer, power))
                .count();
        return now - unheldSince >= better * TURN_MILLIS;
    }

    private boolean better(DutyPeer peer, int power) {
        int other = peer.word().power();
        return other > power || (other == power && peer.name().compareTo(terms.node()) < 0);
    }

    // ---- becoming the holder

    private void ask() {
        machine.fire(DutyEvent.ASK);
        port.read(hearing(reply -> {
            switch (reply) {
                case DutyReply.Answered<UsageRecord>(UsageRecord found) -> {
                    if (found.holding().isPresent()) {
                        lose("held by " + found.holding().get().claim());
                    } else if (heldBeforeAnother(found.holders())) {
                        lose("a process before this one held it");
                        nextTry = startedAt + terms.lateCallsMillis();
                    } else {
                        askLease(found.holders());
                    }
                }
                case DutyReply.Unknown<UsageRecord>(String why) -> lose(why);
            }
        }));
    }

    /**
     * Returns whether a process before this one on its host may have calls that are still to be carried out, and another host
     * has held the duty since: its calls and those of this one would stand on both sides of the other's.
     */
    private boolean heldBeforeAnother(List<String> holders) {
        return clock.steadyMillis() - startedAt < terms.lateCallsMillis()
                && holders.contains(terms.node())
                && !holders.get(holders.size() - 1).equals(terms.node());
    }

    private void askLease(List<String> holders) {
        long sent = clock.steadyMillis();
        long offset = offset();
        long asked = epoch;
        port.lease(terms.leaseMillis(), reply -> {
            if (reply instanceof DutyReply.Answered<Long>(Long granted)) {
                if (asked != epoch) {
                    port.endLease(granted);
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
                port.endLease(claimed);
                return;
            }
            if (reply instanceof DutyReply.Answered<Boolean>(Boolean written) && !written) {
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
        port.read(hearing(reply -> {
            switch (reply) {
                case DutyReply.Answered<UsageRecord>(UsageRecord found) -> {
                    Optional<UsageRecord.Holding> own =
                            found.holding().filter(holding -> holding.claim().equals(claim));
                    if (own.isPresent()) {
                        token = own.get().token();
                        begin(found);
                    } else {
                        abandon("claim was not carried out");
                    }
                }
                case DutyReply.Unknown<UsageRecord>(String why) -> abandon(why);
            }
        }));
    }

    private void begin(UsageRecord found) {
        backoff = FIRST_BACKOFF_MILLIS;
        actFrom = clock.steadyMillis() + (terms.fenced() ? 0 : terms.lateCallsMillis());
        takeOver.accept(found);
        machine.fire(DutyEvent.CLAIMED);
        listener.held(token);
    }

    private void abandon(String why) {
        port.endLease(lease);
        lose(why);
    }

    // ---- being the holder

    private void renew() {
        renewing = true;
        long sent = clock.steadyMillis();
        long offset = offset();
        port.renew(lease, hearing(reply -> {
            renewing = false;
            switch (reply) {
                case DutyReply.Answered<Boolean>(Boolean runs) -> {
                    if (runs) {
                        proven(sent, offset);
                    } else {
                        lose("its lease has ended");
                    }
                }
                case DutyReply.Unknown<Boolean> unknown ->
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
        return clock.timeOfDayMillis() - clock.steadyMillis();
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
            notBefore = now + terms.restMillis();
            if (unansweredAt > now - terms.lateCallsMillis()) {
                notBefore += unansweredAt + terms.lateCallsMillis() - now;
            }
            port.endLease(lease);
            lost.run();
            listener.lost(token, why);
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
            listener.lost(token, "stops");
            port.release(token, tally, () -> port.endLease(lease));
        }
    }

    /** Returns a callback that isn't heard once the duty was lost or the node has stopped. */
    private <T> Consumer<DutyReply<T>> hearing(Consumer<DutyReply<T>> taker) {
        long asked = epoch;
        return reply -> {
            if (asked == epoch) {
                taker.accept(reply);
            }
        };
    }
}
