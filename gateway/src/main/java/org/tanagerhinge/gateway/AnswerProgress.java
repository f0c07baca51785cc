package org.tanagerhinge.gateway;

import java.util.Optional;
import java.util.OptionalLong;

/** How far one request's answer has been passed on to its caller, over all its attempts. */
final class AnswerProgress {
    private long lastEvent;
    private boolean headPassed;
    private boolean eventsPassed;
    private Optional<String> weightsVersion = Optional.empty();
    private long firstAt = -1;
    private long lastAt;
    private long longestPause;

    /** Returns the progress of a request that asks for the events after one; 0 for all. */
    static AnswerProgress after(long event) {
        AnswerProgress progress = new AnswerProgress();
        progress.lastEvent = event;
        return progress;
    }

    boolean headPassed() {
        return headPassed;
    }

    void passedHead() {
        headPassed = true;
    }

    /** Returns whether an event was passed on, or was asked not to be sent. */
    boolean knows(long event) {
        return event >= 0 && event <= lastEvent;
    }

    /** Notes that something of the answer was passed on; the event's id is negative if it has none. */
    void passed(long event, long now) {
        if (event >= 0) {
            lastEvent = event;
            eventsPassed = true;
        }
        if (firstAt < 0) {
            firstAt = now;
        } else {
            longestPause = Math.max(longestPause, now - lastAt);
        }
        lastAt = now;
    }

    /** Returns the event after which another server would have to go on; empty if the caller's own word stands. */
    OptionalLong resumeAfter() {
        return eventsPassed ? OptionalLong.of(lastEvent) : OptionalLong.empty();
    }

    long lastEvent() {
        return lastEvent;
    }

    /** Returns the version of the weights with which the answer was begun. */
    Optional<String> weightsVersion() {
        return weightsVersion;
    }

    void begunWith(Optional<String> version) {
        if (weightsVersion.isEmpty()) {
            weightsVersion = version;
        }
    }

    /** Returns when the first event was passed on, in milliseconds; negative if none was. */
    long firstAt() {
        return firstAt;
    }

    /** Returns the longest pause between two events that were passed on, in milliseconds. */
    long longestPause() {
        return longestPause;
    }
}
