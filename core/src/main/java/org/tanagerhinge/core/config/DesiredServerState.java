package org.tanagerhinge.core.config;

import java.util.Locale;

/** What operators want of a backend server. */
public enum DesiredServerState {
    /** Takes work. */
    SERVING,
    /** Takes no new work, finishes what runs. */
    LEAVING,
    /** Is to be left alone; no agent is expected there. */
    STOPPED;

    /** Returns the word used in documents, for example {@code leaving}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
