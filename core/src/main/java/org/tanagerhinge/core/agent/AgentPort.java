package org.tanagerhinge.core.agent;

import org.tanagerhinge.core.config.ClusterConfig;
import org.tanagerhinge.core.id.RouterId;
import org.tanagerhinge.core.message.Frame;

/** Performs the I/O that {@link AgentCore} requests. Calls return at once and do not call back before they return. */
public interface AgentPort {
    /** Sends a frame to a router; does nothing if the router is not connected. */
    void send(RouterId router, Frame.FromAgent frame);

    /** Starts a run at the backend server; its output arrives as {@link AgentCore} events with the run's id. */
    void start(Run run);

    /** Aborts a run at the backend server; later events of the run are ignored. */
    void abort(long runId);

    /** Sends a health probe to the backend server; the result arrives as {@link AgentCore#onProbeResult}. */
    void probe();

    /** Pauses or resumes reading a run's output from the backend server. */
    void setPaused(long runId, boolean paused);

    /**
     * Increments the counter of a rejection, failure or backend state change.
     *
     * @param reason label of the counter, for example {@code refused_queue_full}
     */
    void count(String reason);

    /** Reports that a newer configuration was applied. */
    void configApplied(ClusterConfig config);
}
