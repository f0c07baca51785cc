package org.tanagerhinge.core.config;

import java.util.Locale;

/** Lists the states that operators can assign to a backend server; the {@code mark} field of the servers document. */
public enum DesiredServerState {
    /** Accepts new requests. */
    SERVING,
    /** Accepts no new requests; completes those in flight. */
    LEAVING,
    /** Is out of service; no agent is expected to run. */
    STOPPED;

    /** Returns the name used in documents, for example {@code leaving}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
