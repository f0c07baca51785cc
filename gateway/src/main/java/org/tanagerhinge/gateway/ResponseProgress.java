package org.tanagerhinge.gateway;

import java.util.Optional;
import java.util.OptionalLong;

/** How far one request's answer has been passed on to its caller, over all its attempts. */
final class ResponseProgress {
    private long lastEventId;
    private boolean headForwarded;
    private boolean eventsForwarded;
    private Optional<String> weightsVersion = Optional.empty();
    private long firstEventAtMillis = -1;
    private long lastEventAtMillis;
    private long longestGapMillis;

    /** Returns the progress of a request that asks for the events after one; 0 for all. */
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

    /** Returns whether an event was passed on, or was asked not to be sent. */
    boolean alreadyForwarded(long eventId) {
        return eventId >= 0 && eventId <= lastEventId;
    }

    /** Notes that something of the answer was passed on; the event's id is negative if it has none. */
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

    /** Returns the event after which another server would have to go on; empty if the caller's own word stands. */
    OptionalLong resumeAfterEvent() {
        return eventsForwarded ? OptionalLong.of(lastEventId) : OptionalLong.empty();
    }

    long lastEventId() {
        return lastEventId;
    }

    /** Returns the version of the weights with which the answer was begun. */
    Optional<String> weightsVersion() {
        return weightsVersion;
    }

    void startedWith(Optional<String> version) {
        if (weightsVersion.isEmpty()) {
            weightsVersion = version;
        }
    }

    /** Returns when the first event was passed on, in milliseconds; negative if none was. */
    long firstEventAtMillis() {
        return firstEventAtMillis;
    }

    /** Returns the longest pause between two events that were passed on, in milliseconds. */
    long longestGapMillis() {
        return longestGapMillis;
    }
}
