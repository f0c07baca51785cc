package org.tanagerhinge.core.relay;

import java.net.InetSocketAddress;

/**
 * One incarnation of a backend server as this node knows it: what it registered, what this node has sent to it, and how
 * it has answered.
 */
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

    private ServerInstance(ServerRegistration registration) {
        this.registration = registration;
        this.instanceId = registration.instanceId();
    }

    /** Returns a server that has just been seen for the first time. */
    public static ServerInstance of(ServerRegistration registration) {
        return new ServerInstance(registration);
    }

    public String id() {
        return registration.id();
    }

    /** Returns the name of this life of the server, under which everything that is believed of it is kept. */
    public String instanceId() {
        return instanceId;
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

    /** Returns whether new work may be sent to it. */
    public boolean available() {
        return !removed && !registration.draining();
    }

    public boolean removed() {
        return removed;
    }

    public ServerRegistration registration() {
        return registration;
    }

    /** Takes a newer registration; a server that has said that it leaves stays so. */
    void update(ServerRegistration newer) {
        boolean draining = registration.draining() || newer.draining();
        registration = new ServerRegistration(
                newer.id(),
                newer.startedAtMillis(),
                newer.service(),
                newer.address(),
                newer.domain(),
                newer.slots(),
                draining);
    }

    /** Notes that the incarnation has ended. */
    public void markRemoved() {
        removed = true;
    }

    /** Returns the requests that this node has running there. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns the requests running there of all nodes, as far as they are known here. */
    public int totalInFlight() {
        return inFlight + peerInFlight;
    }

    /** Returns the prompt tokens of all nodes that it was sent and has not yet read, as far as they are known here. */
    public long totalPendingPrefillTokens() {
        return pendingPrefillTokens + peerPendingPrefillTokens;
    }

    /** Returns the prompt tokens that this node sent and that have not yet been read. */
    public long pendingPrefillTokens() {
        return pendingPrefillTokens;
    }

    /** Takes what the other nodes tell of their requests there. */
    public void updatePeerLoad(int requests, long tokens) {
        peerInFlight = requests;
        peerPendingPrefillTokens = tokens;
    }

    /** Takes a change of what the other nodes tell of their requests there. */
    public void adjustPeerLoad(int requests, long tokens) {
        peerInFlight = Math.max(0, peerInFlight + requests);
        peerPendingPrefillTokens = Math.max(0, peerPendingPrefillTokens + tokens);
    }

    /** Takes what the server itself tells: requests that it runs and that wait there, of all nodes. */
    public void updateReportedLoad(int running, int waiting) {
        peerInFlight = Math.max(0, running + waiting - inFlight);
    }

    /** Notes that a request was sent, with the prompt tokens that the server has to read for it. */
    public void recordSent(int tokens) {
        inFlight++;
        pendingPrefillTokens += tokens;
    }

    /** Notes that the prompt of a request has been read, since its first output came. */
    public void recordPrefill(int tokens) {
        pendingPrefillTokens -= tokens;
    }

    /** Notes that a stream has begun to bring events. */
    public void recordStreamStart() {
        activeStreams++;
    }

    /** Notes that a stream that had begun has ended. */
    public void recordStreamEnd() {
        activeStreams--;
    }

    /** Notes that the server sent anything at all, at a time in milliseconds. */
    public void recordReceived(long nowMillis) {
        lastReceivedMillis = nowMillis;
    }

    /**
     * Returns how long the server has said nothing though it owes events, in milliseconds; 0 if it owes none.
     *
     * <p>Answers servers that lose power or whose links go dark: nothing is reset then, and requests go on being sent
     * there until they time out.
     */
    public long silenceMillis(long nowMillis) {
        return activeStreams > 0 ? nowMillis - lastReceivedMillis : 0;
    }

    /** Notes that a request has ended, whichever way. */
    public void recordEnd() {
        inFlight--;
    }

    public ServerHealth health() {
        return health;
    }
}
