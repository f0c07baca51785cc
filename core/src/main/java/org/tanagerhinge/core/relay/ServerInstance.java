package org.tanagerhinge.core.relay;

import java.net.InetSocketAddress;

/** Tracks one instance of a backend server as this node knows it: its registration, the load on it and its health. */
public final class ServerInstance {
    private ServerRegistration registration;
    private final String instanceId;
    private boolean removed;
    private final RankedLoad load = RankedLoad.create();
    private RankedLoad peerLoad = RankedLoad.create();
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

    /** Returns the load of this node's requests there. */
    public RankedLoad load() {
        return load;
    }

    /** Returns the requests that this node has in flight there. */
    public int inFlight() {
        return load.inFlight();
    }

    /** Returns the known requests of all nodes in flight there. */
    public int totalInFlight() {
        return load.inFlight() + peerLoad.inFlight();
    }

    /** Returns the known requests of all nodes in flight there that are at least as urgent as a rank. */
    public int totalInFlightUpTo(int rank) {
        return load.inFlightUpTo(rank) + peerLoad.inFlightUpTo(rank);
    }

    /**
     * Returns the number of requests that a request of a rank would find ahead of it: those in the slots, whatever their
     * ranks, and the waiting ones that are at least as urgent. Less urgent ones that wait get a slot after it.
     */
    public int inFlightAheadOf(int rank) {
        return Math.max(totalInFlightUpTo(rank), Math.min(totalInFlight(), slots()));
    }

    /** Returns the known prompt tokens of all nodes that were sent there and aren't prefilled yet. */
    public long totalPendingPrefillTokens() {
        return load.pendingPrefillTokens() + peerLoad.pendingPrefillTokens();
    }

    /** Returns those of the known tokens that are prefilled before a request of a rank. */
    public long pendingPrefillTokensAheadOf(int rank) {
        return load.pendingPrefillTokensUpTo(rank) + peerLoad.pendingPrefillTokensUpTo(rank);
    }

    /** Sets the load of the other nodes' requests there. */
    public void updatePeerLoad(RankedLoad newLoad) {
        peerLoad = newLoad.copy();
    }

    /** Replaces a part of the load of the other nodes' requests there. */
    public void adjustPeerLoad(RankedLoad before, RankedLoad after) {
        peerLoad.subtract(before);
        peerLoad.add(after);
    }

    /** Applies the server's own load report: running and waiting requests of all nodes. */
    public void updateReportedLoad(int running, int waiting) {
        peerLoad.replaceInFlight(Math.max(0, running + waiting - inFlight()));
    }

    /** Records a request that was sent, with the prompt tokens that the server has to prefill. */
    public void recordSent(int rank, int tokens) {
        load.add(rank, 1, tokens);
    }

    /** Records that the prompt of a request is prefilled, shown by its first output. */
    public void recordPrefill(int rank, int tokens) {
        load.add(rank, 0, -tokens);
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
    public void recordEnd(int rank) {
        load.add(rank, -1, 0);
    }

    public ServerHealth health() {
        return health;
    }

    public WorkTime workTime() {
        return workTime;
    }
}
