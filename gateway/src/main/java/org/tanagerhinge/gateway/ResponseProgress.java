package org.tanagerhinge.gateway;

import java.util.Optional;
import java.util.OptionalLong;

/** Tracks how much of a response was forwarded to the caller, over all attempts. */
final class ResponseProgress {
    private long lastEventId;
    private boolean headForwarded;
    private boolean eventsForwarded;
    private Optional<String> weightsVersion = Optional.empty();
    private long firstEventAtMillis = -1;
    private long lastEventAtMillis;
    private long longestGapMillis;

    /** Returns the progress of a request for the events after one; 0 for all. */
    static ResponseProgress after(long eventId) {
        ResponseProgress progress = new ResponseProgress();
        progress.lastEventId = eventId;
        return progress;
    }

    boolean headForwarded() {
        return headForwarded;
    }

    void markHeadForwarded() {
        headForwarded = true;
    }

    /** Returns whether an event was forwarded already, or lies before the first requested one. */
    boolean alreadyForwarded(long eventId) {
        return eventId >= 0 && eventId <= lastEventId;
    }

    /** Records a forwarded event; its id is negative if it has none. */
    void forwarded(long eventId, long nowMillis) {
        if (eventId >= 0) {
            lastEventId = eventId;
            eventsForwarded = true;
        }
        if (firstEventAtMillis < 0) {
            firstEventAtMillis = nowMillis;
        } else {
            longestGapMillis = Math.max(longestGapMillis, nowMillis - lastEventAtMillis);
        }
        lastEventAtMillis = nowMillis;
    }

    /** Returns the event after which another server must resume; empty to use the caller's own value. */
    OptionalLong resumeAfterEvent() {
        return eventsForwarded ? OptionalLong.of(lastEventId) : OptionalLong.empty();
    }

    long lastEventId() {
        return lastEventId;
    }

    /** Returns the version of the model weights that produced the start of the response. */
    Optional<String> weightsVersion() {
        return weightsVersion;
    }

    void startedWith(Optional<String> version) {
        if (weightsVersion.isEmpty()) {
            weightsVersion = version;
        }
    }

    /** Returns the time of the first forwarded event, in milliseconds; negative if there was none. */
    long firstEventAtMillis() {
        return firstEventAtMillis;
    }

    /** Returns the longest gap between two forwarded events, in milliseconds. */
    long longestGapMillis() {
        return longestGapMillis;
    }
}
