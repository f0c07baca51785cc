package org.tanagerhinge.core.relay;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.tanagerhinge.core.attempt.RequestFingerprint;

/** Remembers when rejected callers were told to retry, so that repeats before that time can be recognized. */
public final class EarlyRepeats {
    /** Bound on the remembered requests, about half a megabyte. */
    private static final int MAX_REQUESTS = 4_096;
    /** A repeat that is early by at most this much counts as on time, since callers' timers are inexact. */
    private static final long TOLERANCE_MILLIS = 20;

    private final LinkedHashMap<RequestFingerprint, Long> retryAtMillis = new LinkedHashMap<>();

    private EarlyRepeats() {}

    /** Creates an empty memory. */
    public static EarlyRepeats create() {
        return new EarlyRepeats();
    }

    /** Returns whether no caller has been told a time to retry. */
    public boolean isEmpty() {
        return retryAtMillis.isEmpty();
    }

    /** Records that the caller of a request was told to retry at a time in milliseconds. */
    public void recordTold(RequestFingerprint request, long atMillis, long nowMillis) {
        evictPassed(nowMillis);
        retryAtMillis.putLast(request, atMillis);
        if (retryAtMillis.size() > MAX_REQUESTS) {
            retryAtMillis.pollFirstEntry();
        }
    }

    /** Returns the time until the caller of a request was told to retry, in milliseconds; empty once it has come. */
    public OptionalLong remainingMillis(RequestFingerprint request, long nowMillis) {
        evictPassed(nowMillis);
        Long atMillis = retryAtMillis.get(request);
        return atMillis == null || atMillis - nowMillis <= TOLERANCE_MILLIS
                ? OptionalLong.empty()
                : OptionalLong.of(atMillis - nowMillis);
    }

    /** Removes the oldest requests whose time has come; a later one in the queue may wait behind an earlier one. */
    private void evictPassed(long nowMillis) {
        Iterator<Map.Entry<RequestFingerprint, Long>> entries =
                retryAtMillis.entrySet().iterator();
        while (entries.hasNext() && entries.next().getValue() <= nowMillis) {
            entries.remove();
        }
    }
}
