package org.tanagerhinge.core.agent;

import org.tanagerhinge.core.config.ClusterConfig;
import org.tanagerhinge.core.id.RouterId;
import org.tanagerhinge.core.message.Frame;

/** What an agent's decisions ask of the world. Calls return at once; nothing calls back before they return. */
public interface AgentPort {
    /** Sends a message to a router, if it is linked. */
    void send(RouterId router, Frame.FromAgent frame);

    /** Starts a run at the backend server; its output comes back as events that name the run's id. */
    void start(Run run);

    /** Ends a run at the backend server; events of the run that are still on their way are ignored. */
    void abort(long runId);

    /** Asks the backend server for a sign of life; the answer comes back as {@link AgentCore#onProbeResult}. */
    void probe();

    /** Stops, or goes on, reading a run's output from the backend server. */
    void setPaused(long runId, boolean paused);

    /** Counts a refusal, shed or failure by its reason. */
    void count(String reason);

    /** Tells that a newer configuration was applied. */
    void configApplied(ClusterConfig config);
}
