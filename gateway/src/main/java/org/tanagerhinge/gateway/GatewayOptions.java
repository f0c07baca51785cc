package org.tanagerhinge.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.tanagerhinge.core.duty.DutySettings;
import org.tanagerhinge.core.relay.Mechanism;

/**
 * Holds the settings of a gateway.
 *
 * @param name name of this node
 * @param domain failure domain of this host
 * @param listenAddress address for callers
 * @param statusAddress address for readiness checks and metrics
 * @param metricsAddress additional address for metrics, for platforms that scrape one port on all hosts
 * @param peerAddress address for peer gateways: state reports over UDP, requests over TCP
 * @param bounds the platform's limits
 * @param limits limits of what callers and others may make this node hold
 * @param firstStart whether all nodes start for the first time, so that none has spent any of the retry budget
 * @param duties settings of duties, if the platform uses any
 * @param disabledMechanisms mechanisms that an experiment or the settings disable
 */
public record GatewayOptions(
        String name,
        String domain,
        InetSocketAddress listenAddress,
        InetSocketAddress statusAddress,
        Optional<InetSocketAddress> metricsAddress,
        InetSocketAddress peerAddress,
        Bounds bounds,
        Limits limits,
        boolean firstStart,
        Optional<DutyOptions> duties,
        Set<Mechanism> disabledMechanisms) {
    /** Returns these options without a retry budget, the baseline that the product is compared with. */
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
                limits,
                firstStart,
                duties,
                disabledMechanisms);
    }

    /**
     * Holds the settings of duties that one node performs for all.
     *
     * @param hostCapacity suitability of this host as holder, greater is better
     */
    public record DutyOptions(DutySettings settings, int hostCapacity) {}

    /**
     * Holds the limits of what connections may make this node hold.
     *
     * @param callerMemoryPercent memory for requests and answers of callers, in percent of the heap
     * @param serverMemoryPercent memory for incomplete responses of backend servers, in percent of the heap
     * @param controlMemoryBytes memory for requests at the addresses for status and peers
     * @param descriptors descriptors that the process may have open; 0 for what the operating system allows
     */
    public record Limits(int callerMemoryPercent, int serverMemoryPercent, int controlMemoryBytes, int descriptors) {
        /** Limits that no caller inside the limits of the configuration meets, and no sound server. */
        public static final Limits DEFAULT = new Limits(25, 20, 8 << 20, 0);
    }

    /**
     * Holds the limits that the platform sets.
     *
     * @param stopTimeout time from SIGTERM until the process is killed
     * @param retryRatio retries per request, over all nodes in a window
     * @param retrySlack additional retries, over all nodes in a window
     * @param retryWindow length of the window
     */
    public record Bounds(Duration stopTimeout, double retryRatio, double retrySlack, Duration retryWindow) {}
}
