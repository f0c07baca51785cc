package org.tanagerhinge.node.log;

import java.util.Locale;

/** Events that log lines report. */
public enum LogEvent {
    ROUTED(Subject.REQUEST),
    TAKEN_UP(Subject.REQUEST),
    MATCHED(Subject.REQUEST),
    SENT(Subject.REQUEST),
    ATTEMPT_FAILED(Subject.REQUEST),
    REPEATED(Subject.REQUEST),
    RESUMED(Subject.REQUEST),
    HEDGED(Subject.REQUEST),
    RETRY_DENIED(Subject.REQUEST),
    GIVEN_UP(Subject.REQUEST),
    REFUSED(Subject.REQUEST),
    CUT(Subject.REQUEST),
    CALLER_GONE(Subject.REQUEST),
    UNREAD(Subject.REQUEST),
    ENDED(Subject.REQUEST),
    UNDELIVERED(Subject.REQUEST),

    SERVER_SEEN(Subject.BELIEF),
    SERVER_DRAINING(Subject.BELIEF),
    SERVER_GONE(Subject.BELIEF),
    SERVER_REPLACED(Subject.BELIEF),
    SERVER_EJECTED(Subject.BELIEF),
    SERVER_BACK(Subject.BELIEF),
    SERVER_LEAVING(Subject.BELIEF),
    SERVER_WANTS_NOTHING(Subject.BELIEF),
    SERVER_CRASHED(Subject.BELIEF),
    SUSPICION_CLEARED(Subject.BELIEF),
    REQUEST_HELD(Subject.BELIEF),
    PART_HELD(Subject.BELIEF),
    RANK_SHORT(Subject.BELIEF),
    ENTRY_UNREADABLE(Subject.BELIEF),
    CONFIGURATION(Subject.BELIEF),
    STORE_LOST(Subject.BELIEF),
    STORE_BACK(Subject.BELIEF),
    STORE_RESTORED(Subject.BELIEF),
    CONFIG_READ(Subject.BELIEF),
    CONFIG_WATCH(Subject.BELIEF),
    SHEDDING(Subject.BELIEF),
    SHEDDING_ENDED(Subject.BELIEF),
    MEMORY_FULL(Subject.BELIEF),
    PEER_LOST(Subject.BELIEF),
    PEER_BACK(Subject.BELIEF),
    PEER_ASK_FAILED(Subject.BELIEF),
    DUTY_HELD(Subject.BELIEF),
    DUTY_LOST(Subject.BELIEF),
    USAGE_FIXED(Subject.BELIEF),
    USAGE_REPORTED(Subject.BELIEF),
    USAGE_SKIPPED(Subject.BELIEF),
    USAGE_MISSED(Subject.BELIEF),

    STARTED(Subject.PROCESS),
    STOPPING(Subject.PROCESS),
    CLOSING(Subject.PROCESS),
    STOPPED(Subject.PROCESS),
    SETTINGS_READ(Subject.PROCESS),
    SETTINGS_REFUSED(Subject.PROCESS),
    TASK_FAILED(Subject.PROCESS),
    TASK_OVERDUE(Subject.PROCESS),
    LOG_DROPPED(Subject.PROCESS);

    /** What a line is about: a request, the node's view of others, or the process. Each has its own logger. */
    public enum Subject {
        REQUEST,
        BELIEF,
        PROCESS;

        String loggerName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    private final Subject subject;
    private final String label = name().toLowerCase(Locale.ROOT);

    LogEvent(Subject subject) {
        this.subject = subject;
    }

    /** Returns the subject of the event. */
    public Subject subject() {
        return subject;
    }

    /** Returns the event's name in log lines, in lower case. */
    public String label() {
        return label;
    }
}
