package org.tanagerhinge.core.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Counts the nodes that may be running, for what is divided among all of them.
 *
 * <p>Silence is no proof that a node has ended: it may be cut off and serve callers. A node that was heard or listed counts
 * until it has been silent for long and the platform's store doesn't list it any more. The store lists a node as long as
 * its lease is renewed, so a node that can't renew its lease, and doesn't hear all others either, may have been forgotten by
 * them and takes no share.
 */
public final class FleetSize {
    /** Silence after which a node is looked for in the store's list. */
    private static final long SILENT_MILLIS = 10_000;
    /** Silence after which a node that isn't listed is forgotten; far longer than a lease. */
    private static final long FORGET_AFTER_MILLIS = 60_000;

    /** Age at which the list is read again, for nodes that came back without being heard. */
    private static final long RELIST_MILLIS = 60_000;

    private final String self;
    private final long leaseMillis;
    private final Map<String, Long> seenAtMillis = new HashMap<>();
    private long listedAtMillis;
    private boolean listed;
    private long leaseRenewedAtMillis;

    private FleetSize(String self, long leaseMillis, long nowMillis) {
        this.self = self;
        this.leaseMillis = leaseMillis;
        this.leaseRenewedAtMillis = nowMillis - leaseMillis;
    }

    /**
     * Creates the count of a node that starts now and knows no others.
     *
     * @param self address of this node among its peers
     * @param leaseMillis time for which the store lists a node after it has renewed its lease
     */
    public static FleetSize of(String self, long leaseMillis, long nowMillis) {
        return new FleetSize(self, leaseMillis, nowMillis);
    }

    /** Records that a node was heard. */
    public void heard(String address, long nowMillis) {
        if (!address.equals(self)) {
            seenAtMillis.put(address, nowMillis);
        }
    }

    /** Records the addresses of all nodes that the store lists. */
    public void listed(Set<String> addresses, long nowMillis) {
        listed = true;
        listedAtMillis = nowMillis;
        for (String address : addresses) {
            if (!address.equals(self)) {
                seenAtMillis.putIfAbsent(address, nowMillis);
            }
        }
        seenAtMillis
                .entrySet()
                .removeIf(node ->
                        !addresses.contains(node.getKey()) && nowMillis - node.getValue() > FORGET_AFTER_MILLIS);
    }

    /** Records that the store has renewed this node's lease upon a call sent at a time. */
    public void leaseRenewed(long sentAtMillis) {
        leaseRenewedAtMillis = sentAtMillis;
    }

    /** Returns whether the store's list must be read to find out whether silent nodes have ended. */
    public boolean listingDue(long nowMillis) {
        long ageMillis = nowMillis - listedAtMillis;
        return !listed || ageMillis >= RELIST_MILLIS || (ageMillis >= leaseMillis && !allHeard(nowMillis));
    }

    /** Returns the number of nodes that may be running, this one included; 0 if this node must take no share. */
    public int count(long nowMillis) {
        boolean leased = nowMillis - leaseRenewedAtMillis < leaseMillis;
        return listed && (leased || allHeard(nowMillis)) ? seenAtMillis.size() + 1 : 0;
    }

    /** Returns whether no node but this one and those at the given addresses may be running. */
    public boolean areAllOthers(Set<String> addresses) {
        return listed && addresses.containsAll(seenAtMillis.keySet());
    }

    private boolean allHeard(long nowMillis) {
        return seenAtMillis.values().stream().allMatch(millis -> nowMillis - millis < SILENT_MILLIS);
    }
}
