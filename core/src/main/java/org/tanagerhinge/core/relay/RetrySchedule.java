package org.tanagerhinge.core.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.DoubleSupplier;

/**
 * Promises rejected callers times to retry at which there is capacity for them.
 *
 * <p>Work is in tokens: prompt tokens to prefill, and ten for each output token. Promises of this node and of its peers
 * share the slots of a service ({@link RetrySlots}).
 */
public final class RetrySchedule {
    /** Smallest retry delay in milliseconds; peer load reports are up to this old. */
    private static final long MIN_DELAY_MILLIS = 300;
    /** Largest share of the caller's remaining time that it is told to wait; callers don't wait longer. */
    private static final double MAX_DELAY_SHARE = 1.0 / 3;
    /** Bound on the bytes per second of the reported promises to all peers together. */
    private static final int MAX_REPORT_BYTES_PER_SECOND = 4_000;

    /** Longest encoding of a character of a service's name. */
    private static final int MAX_BYTES_PER_CHAR = 3;

    private final Map<String, RetrySlots> slotsByService = new HashMap<>();
    private OptionalLong reportedAtMillis = OptionalLong.empty();

    private RetrySchedule() {}

    /** Creates a schedule without promises. */
    public static RetrySchedule create() {
        return new RetrySchedule();
    }

    private RetrySlots slots(String service, long nowMillis) {
        return slotsByService.computeIfAbsent(service, name -> new RetrySlots(nowMillis));
    }

    /** Records the work of an admitted request of the least urgent rank. */
    public void recordAdmitted(String service, long work, long nowMillis) {
        slots(service, nowMillis).recordAdmitted(work, nowMillis);
    }

    /**
     * Promises a time to retry and returns the delay until then in milliseconds: at least 300 and at most a third of
     * the remaining time, or exactly this third if it is shorter.
     *
     * @param timeLeftMillis time until the caller gives up
     * @param random draws a number uniformly from 0 to 1, which spreads the callers of a slot
     */
    public long promise(String service, long work, long timeLeftMillis, long nowMillis, DoubleSupplier random) {
        long maxDelayMillis = maxDelayMillis(timeLeftMillis);
        long minDelayMillis = Math.min(MIN_DELAY_MILLIS, maxDelayMillis);
        RetrySlots slots = slots(service, nowMillis);
        long slot = slots.promise(work, nowMillis + minDelayMillis, nowMillis + maxDelayMillis, nowMillis);
        long startMillis = slot * RetrySlots.SLOT_MILLIS - nowMillis;
        long fromMillis = Math.max(minDelayMillis, startMillis);
        long toMillis = Math.min(maxDelayMillis, startMillis + RetrySlots.SLOT_MILLIS - 1);
        return fromMillis + (long) (random.getAsDouble() * Math.max(0, toMillis - fromMillis));
    }

    /** Returns the share of the capacity of the next half second that is promised to retries, from 0 to 1. */
    public double promisedShare(String service, long nowMillis) {
        return slots(service, nowMillis).promisedShare(nowMillis);
    }

    /** Returns the longest delay that a caller may be told, in milliseconds. */
    static long maxDelayMillis(long timeLeftMillis) {
        return Math.max(1, (long) (MAX_DELAY_SHARE * timeLeftMillis));
    }

    /** Applies the promises in a peer's report; services that it doesn't list keep the promises reported before. */
    public void recordPeer(PeerReport report, long nowMillis) {
        report.promised()
                .forEach((service, promised) ->
                        slots(service, nowMillis).recordPeer(report.name(), report.incarnation(), promised, nowMillis));
    }

    /**
     * Returns the promises for the next report to the peers by service; empty while there are none, or until the time
     * since the last report covers its bytes at 4,000 a second.
     */
    public Map<String, PromisedWork> nextReport(int peerCount, long nowMillis) {
        Map<String, PromisedWork> promised = new HashMap<>();
        long bytes = 0;
        for (Map.Entry<String, RetrySlots> entry : slotsByService.entrySet()) {
            entry.getValue().forgetOldPeers(nowMillis);
            if (entry.getValue().anyPromised(nowMillis)) {
                PromisedWork work = entry.getValue().report(nowMillis);
                promised.put(entry.getKey(), work);
                bytes += work.maxBytes() + MAX_BYTES_PER_CHAR * entry.getKey().length();
            }
        }
        if (reportedAtMillis.isEmpty()) {
            reportedAtMillis = OptionalLong.of(nowMillis);
        }
        long coveredBytes = (nowMillis - reportedAtMillis.getAsLong()) * MAX_REPORT_BYTES_PER_SECOND / 1_000;
        if (promised.isEmpty() || bytes * peerCount > coveredBytes) {
            return Map.of();
        }
        reportedAtMillis = OptionalLong.of(nowMillis);
        return promised;
    }
}
