package org.tanagerhinge.core.relay;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks the retries promised for one service by slots of time, and the capacity for them.
 *
 * <p>The capacity of a slot is the work of the least urgent rank admitted per slot in the last two seconds, by this
 * node and by the peers that report promises. A peer that doesn't report counts neither with its promises nor with its
 * capacity, so a node without peers fills its own share of each slot.
 */
final class RetrySlots {
    /** Length of a slot; callers that return within one slot are served by the same prefill chunks. */
    static final int SLOT_MILLIS = 100;
    /** Number of slots ahead that can be promised: 5 s. */
    static final int SLOTS_AHEAD = 50;
    /** Slots over which admitted work is averaged; shorter averages follow single large prompts. */
    private static final int HISTORY_SLOTS = 20;
    /** A peer's capacity is valid for this many slots after its report; its promises pass by themselves. */
    private static final int PEER_VALID_SLOTS = 50;

    /** Slots ahead whose promises new requests yield to; longer views yield before the callers are back. */
    private static final int DUE_SLOTS = 5;

    private static final int RING = 64;

    private final long[] ownWork = new long[RING];
    private final long[] peerWork = new long[RING];
    private final long[] admittedWork = new long[HISTORY_SLOTS];
    private final Map<String, PeerEntry> peers = new HashMap<>();
    private long admittedSum;
    private long peerCapacity;
    private long currentSlot;

    RetrySlots(long nowMillis) {
        currentSlot = slot(nowMillis);
    }

    /**
     * A peer's latest report.
     *
     * @param slot the slot in which it was received
     */
    private record PeerEntry(long incarnation, long slot, PromisedWork promised) {}

    private static long slot(long millis) {
        return Math.floorDiv(millis, SLOT_MILLIS);
    }

    private static int ring(long slot) {
        return (int) Math.floorMod(slot, (long) RING);
    }

    private static int history(long slot) {
        return (int) Math.floorMod(slot, (long) HISTORY_SLOTS);
    }

    /** Clears the slots that have passed. */
    private void advance(long nowMillis) {
        long nowSlot = slot(nowMillis);
        if (nowSlot - currentSlot > RING) {
            Arrays.fill(ownWork, 0);
            Arrays.fill(peerWork, 0);
            Arrays.fill(admittedWork, 0);
            admittedSum = 0;
            currentSlot = nowSlot;
        }
        while (currentSlot < nowSlot) {
            ownWork[ring(currentSlot)] = 0;
            peerWork[ring(currentSlot)] = 0;
            currentSlot++;
            admittedSum -= admittedWork[history(currentSlot)];
            admittedWork[history(currentSlot)] = 0;
        }
    }

    void recordAdmitted(long work, long nowMillis) {
        advance(nowMillis);
        admittedWork[history(currentSlot)] += work;
        admittedSum += work;
    }

    /** Returns the work that fits into a slot. */
    long capacity(long nowMillis) {
        advance(nowMillis);
        return ownCapacity() + peerCapacity;
    }

    private long ownCapacity() {
        return admittedSum / HISTORY_SLOTS;
    }

    /** Returns the work promised to the slot that a time lies in, 0 for a slot that has passed. */
    long promised(long atMillis, long nowMillis) {
        advance(nowMillis);
        return slot(atMillis) < currentSlot ? 0 : promised(slot(atMillis));
    }

    private long promised(long slot) {
        return ownWork[ring(slot)] + peerWork[ring(slot)];
    }

    /**
     * Promises work to the first slot with free capacity between two times; without one, to the slot with the least
     * work. Returns the slot's number.
     */
    long promise(long work, long earliestMillis, long latestMillis, long nowMillis) {
        long capacity = capacity(nowMillis);
        long lastSlot = Math.min(slot(latestMillis), currentSlot + SLOTS_AHEAD);
        long best = Math.min(slot(earliestMillis), lastSlot);
        for (long slot = best; slot <= lastSlot && promised(best) >= capacity; slot++) {
            if (promised(slot) < promised(best)) {
                best = slot;
            }
        }
        ownWork[ring(best)] += work;
        return best;
    }

    /** Applies a peer's report; the promises of the peer's earlier process stay, since its callers come back. */
    void recordPeer(String peer, long incarnation, PromisedWork promised, long nowMillis) {
        advance(nowMillis);
        PeerEntry previous = peers.put(peer, new PeerEntry(incarnation, currentSlot, promised));
        if (previous != null) {
            peerCapacity -= previous.promised().capacity() * PromisedWork.UNIT;
            if (previous.incarnation() == incarnation) {
                addPeerWork(previous, -PromisedWork.UNIT);
            }
        }
        peerCapacity += promised.capacity() * PromisedWork.UNIT;
        addPeerWork(peers.get(peer), PromisedWork.UNIT);
    }

    private void addPeerWork(PeerEntry entry, long unit) {
        long slot = entry.slot() + entry.promised().firstSlot();
        for (long work : entry.promised().workBySlot()) {
            if (slot >= currentSlot && slot <= entry.slot() + SLOTS_AHEAD) {
                peerWork[ring(slot)] += unit * work;
            }
            slot++;
        }
    }

    /** Drops the capacity of peers whose last report is old. */
    void forgetOldPeers(long nowMillis) {
        advance(nowMillis);
        peers.values().removeIf(entry -> {
            boolean old = currentSlot - entry.slot() > PEER_VALID_SLOTS;
            peerCapacity -= old ? entry.promised().capacity() * PromisedWork.UNIT : 0;
            return old;
        });
    }

    /** Returns the share of the capacity of the next half second that is promised, from 0 to 1. */
    double promisedShare(long nowMillis) {
        advance(nowMillis);
        long work = 0;
        for (int i = 0; i < DUE_SLOTS; i++) {
            work += promised(currentSlot + i);
        }
        return work == 0 ? 0 : Math.min(1, work / (double) Math.max(1, DUE_SLOTS * capacity(nowMillis)));
    }

    /** Returns whether this node or a peer has promised work to a slot that hasn't passed. */
    boolean anyPromised(long nowMillis) {
        advance(nowMillis);
        for (long slot = currentSlot; slot <= currentSlot + SLOTS_AHEAD; slot++) {
            if (promised(slot) > 0) {
                return true;
            }
        }
        return false;
    }

    /** Returns this node's own promises and capacity, rounded up to units. */
    PromisedWork report(long nowMillis) {
        advance(nowMillis);
        int first = 0;
        int end = SLOTS_AHEAD + 1;
        while (end > 0 && ownWork[ring(currentSlot + end - 1)] == 0) {
            end--;
        }
        while (first < end && ownWork[ring(currentSlot + first)] == 0) {
            first++;
        }
        List<Long> work = new ArrayList<>();
        for (int i = first; i < end; i++) {
            work.add(units(ownWork[ring(currentSlot + i)]));
        }
        return new PromisedWork(units(ownCapacity()), first, List.copyOf(work));
    }

    private static long units(long work) {
        return (work + PromisedWork.UNIT - 1) / PromisedWork.UNIT;
    }
}
