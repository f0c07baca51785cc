package org.tanagerhinge.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.tanagerhinge.core.duty.DutySettings;
import org.tanagerhinge.core.relay.Mechanism;

/**
 * What a gateway is told by its settings.
 *
 * @param domain failure domain of this host
 * @param listen where callers connect
 * @param status where the platform asks for readiness, and where metrics are
 * @param metrics where metrics are shown besides, if anywhere: a platform may fetch them at one port on all hosts
 * @param peers where other gateways send what they know, over UDP, and ask for more, over TCP
 * @param bounds the platform's bounds
 * @param duties how duties are done, if the platform asks for any
 * @param off mechanisms that an experiment switches off; none otherwise
 */
public record GatewayOptions(
        String name,
        String domain,
        InetSocketAddress listenAddress,
        InetSocketAddress statusAddress,
        Optional<InetSocketAddress> metricsAddress,
        InetSocketAddress peerAddress,
        Bounds bounds,
        Optional<DutyOptions> duties,
        Set<Mechanism> disabledMechanisms) {
    /** Returns these options with no budget for repeats: the plain baseline that the product is compared with. */
    public GatewayOptions withoutRetries() {
        Bounds none = new Bounds(bounds.stopTimeout(), 0, 0, bounds.retryWindow());
        return new GatewayOptions(
                name,
                domain,
                listenAddress,
                statusAddress,
                metricsAddress,
                peerAddress,
                none,
                duties,
                disabledMechanisms);
    }

    /**
     * DutyParticipant that one node does for all.
     *
     * @param power how well this node could bear one, greater is better
     */
    public record DutyOptions(DutySettings settings, int hostCapacity) {}

    /**
     * Bounds within which the platform wants things done.
     *
     * @param stopTimeout from SIGTERM until the process is killed
     * @param retryRatio repeats for each request, of all nodes in a window
     * @param retrySlack repeats besides, of all nodes in a window
     */
    public record Bounds(Duration stopTimeout, double retryRatio, double retrySlack, Duration retryWindow) {}
}
