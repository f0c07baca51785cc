package org.tanagerhinge.core.relay;

import java.util.List;

/**
 * Describes the retries that a node has promised for a service, as it reports them to its peers.
 *
 * @param capacity work of the least urgent rank that the node admits per slot, in units of {@link #UNIT}
 * @param firstSlot first slot with promised work, relative to the current one
 * @param workBySlot promised work from the first slot on, in units of {@link #UNIT}
 */
public record PromisedWork(long capacity, int firstSlot, List<Long> workBySlot) {
    /** Work that one unit of a report stands for; keeps the numbers of a report at one or two bytes. */
    static final long UNIT = 1_000;

    /** Returns an upper bound of the bytes that this entry takes in a report, beside the name of its service. */
    int maxBytes() {
        int bytes = 24;
        for (long work : workBySlot) {
            bytes += 1 + (Long.SIZE - Long.numberOfLeadingZeros(work)) / 7;
        }
        return bytes;
    }
}
