package org.tanagerhinge.core.relay;

import java.net.InetSocketAddress;

/** Tracks one instance of a backend server as this node knows it: its registration, the load on it and its health. */
public final class ServerInstance {
    private ServerRegistration registration;
    private final String instanceId;
    private boolean removed;
    private int inFlight;
    private long pendingPrefillTokens;
    private int peerInFlight;
    private long peerPendingPrefillTokens;
    private int activeStreams;
    private long lastReceivedMillis = Long.MIN_VALUE;
    private final ServerHealth health = ServerHealth.create();
    private final WorkTime workTime = WorkTime.create();

    private ServerInstance(ServerRegistration registration) {
        this.registration = registration;
        this.instanceId = registration.instanceId();
    }

    /** Creates an instance without load. */
    public static ServerInstance of(ServerRegistration registration) {
        return new ServerInstance(registration);
    }

    public String id() {
        return registration.id();
    }

    /** Returns the instance id, under which all state of this instance is kept. */
    public String instanceId() {
        return instanceId;
    }

    /** Returns the version of the server's software; empty if unknown. */
    public String softwareVersion() {
        return registration.softwareVersion();
    }

    public String service() {
        return registration.service();
    }

    public InetSocketAddress address() {
        return registration.address();
    }

    public String domain() {
        return registration.domain();
    }

    public int slots() {
        return registration.slots();
    }

    /** Returns whether new requests may be sent to it: it is neither removed nor draining. */
    public boolean available() {
        return !removed && !registration.draining();
    }

    public boolean removed() {
        return removed;
    }

    public ServerRegistration registration() {
        return registration;
    }

    /** Applies a newer registration; a draining server stays draining. */
    void update(ServerRegistration newer) {
        boolean draining = registration.draining() || newer.draining();
        registration = new ServerRegistration(
                newer.id(),
                newer.startedAtMillis(),
                newer.softwareVersion().isEmpty() ? registration.softwareVersion() : newer.softwareVersion(),
                newer.service(),
                newer.address(),
                newer.domain(),
                newer.slots(),
                draining);
    }

    /** Marks the instance as removed. */
    public void markRemoved() {
        removed = true;
    }

    /** Returns the requests that this node has in flight there. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns the known requests of all nodes in flight there. */
    public int totalInFlight() {
        return inFlight + peerInFlight;
    }

    /** Returns the known prompt tokens of all nodes that were sent there and aren't prefilled yet. */
    public long totalPendingPrefillTokens() {
        return pendingPrefillTokens + peerPendingPrefillTokens;
    }

    /** Returns the prompt tokens that this node sent there and that aren't prefilled yet. */
    public long pendingPrefillTokens() {
        return pendingPrefillTokens;
    }

    /** Sets the load of the other nodes' requests there. */
    public void updatePeerLoad(int requests, long tokens) {
        peerInFlight = requests;
        peerPendingPrefillTokens = tokens;
    }

    /** Adds a change to the load of the other nodes' requests there. */
    public void adjustPeerLoad(int requests, long tokens) {
        peerInFlight = Math.max(0, peerInFlight + requests);
        peerPendingPrefillTokens = Math.max(0, peerPendingPrefillTokens + tokens);
    }

    /** Applies the server's own load report: running and waiting requests of all nodes. */
    public void updateReportedLoad(int running, int waiting) {
        peerInFlight = Math.max(0, running + waiting - inFlight);
    }

    /** Records a request that was sent, with the prompt tokens that the server has to prefill. */
    public void recordSent(int tokens) {
        inFlight++;
        pendingPrefillTokens += tokens;
    }

    /** Records that the prompt of a request is prefilled, shown by its first output. */
    public void recordPrefill(int tokens) {
        pendingPrefillTokens -= tokens;
    }

    /** Records the first event of a stream. */
    public void recordStreamStart() {
        activeStreams++;
    }

    /** Records the end of a stream that had events. */
    public void recordStreamEnd() {
        activeStreams--;
    }

    /** Records that data was received from the server, at a time in milliseconds. */
    public void recordReceived(long nowMillis) {
        lastReceivedMillis = nowMillis;
    }

    /**
     * Returns for how long the server has been silent although streams are open, in milliseconds; 0 without open
     * streams.
     *
     * <p>Detects servers that lose power or network: no connection is reset then, and requests would go on being sent
     * there until they time out.
     */
    public long silenceMillis(long nowMillis) {
        return activeStreams > 0 ? nowMillis - lastReceivedMillis : 0;
    }

    /** Records the end of a request, whatever its result. */
    public void recordEnd() {
        inFlight--;
    }

    public ServerHealth health() {
        return health;
    }

    public WorkTime workTime() {
        return workTime;
    }
}
