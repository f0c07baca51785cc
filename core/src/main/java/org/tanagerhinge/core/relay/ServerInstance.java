package org.tanagerhinge.core.relay;

import java.net.InetSocketAddress;

/**
 * One incarnation of a backend server as this node knows it: what it registered, what this node has sent to it, and how
 * it has answered.
 */
public final class ServerInstance {
    private ServerRegistration registration;
    private final String life;
    private boolean gone;
    private int running;
    private long promptTokens;
    private int peersRunning;
    private long peersPromptTokens;
    private int streaming;
    private long lastHeard = Long.MIN_VALUE;
    private final ServerHealth health = ServerHealth.create();

    private ServerInstance(ServerRegistration registration) {
        this.registration = registration;
        this.life = registration.life();
    }

    /** Returns a server that has just been seen for the first time. */
    public static ServerInstance of(ServerRegistration registration) {
        return new ServerInstance(registration);
    }

    public String id() {
        return registration.id();
    }

    /** Returns the name of this life of the server, under which everything that is believed of it is kept. */
    public String life() {
        return life;
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
    public boolean open() {
        return !gone && !registration.draining();
    }

    public boolean gone() {
        return gone;
    }

    public ServerRegistration registration() {
        return registration;
    }

    /** Takes a newer registration; a server that has said that it leaves stays so. */
    void update(ServerRegistration newer) {
        boolean leaving = registration.draining() || newer.draining();
        registration = new ServerRegistration(
                newer.id(), newer.born(), newer.service(), newer.address(), newer.domain(), newer.slots(), leaving);
    }

    /** Notes that the incarnation has ended. */
    public void markGone() {
        gone = true;
    }

    /** Returns the requests that this node has running there. */
    public int running() {
        return running;
    }

    /** Returns the requests running there of all nodes, as far as they are known here. */
    public int runningOfAll() {
        return running + peersRunning;
    }

    /** Returns the prompt tokens of all nodes that it was sent and has not yet read, as far as they are known here. */
    public long promptTokensOfAll() {
        return promptTokens + peersPromptTokens;
    }

    /** Returns the prompt tokens that this node sent and that have not yet been read. */
    public long promptTokens() {
        return promptTokens;
    }

    /** Takes what the other nodes tell of their requests there. */
    public void peers(int requests, long tokens) {
        peersRunning = requests;
        peersPromptTokens = tokens;
    }

    /** Takes a change of what the other nodes tell of their requests there. */
    public void peersChanged(int requests, long tokens) {
        peersRunning = Math.max(0, peersRunning + requests);
        peersPromptTokens = Math.max(0, peersPromptTokens + tokens);
    }

    /** Takes what the server itself tells: requests that it runs and that wait there, of all nodes. */
    public void told(int runs, int waits) {
        peersRunning = Math.max(0, runs + waits - running);
    }

    /** Notes that a request was sent, with the prompt tokens that the server has to read for it. */
    public void sent(int tokens) {
        running++;
        promptTokens += tokens;
    }

    /** Notes that the prompt of a request has been read, since its first output came. */
    public void read(int tokens) {
        promptTokens -= tokens;
    }

    /** Notes that a stream has begun to bring events. */
    public void streamBegan() {
        streaming++;
    }

    /** Notes that a stream that had begun has ended. */
    public void streamEnded() {
        streaming--;
    }

    /** Notes that the server sent anything at all, at a time in milliseconds. */
    public void heard(long now) {
        lastHeard = now;
    }

    /**
     * Returns how long the server has said nothing though it owes events, in milliseconds; 0 if it owes none.
     *
     * <p>Answers servers that lose power or whose links go dark: nothing is reset then, and requests go on being sent
     * there until they time out.
     */
    public long silentFor(long now) {
        return streaming > 0 ? now - lastHeard : 0;
    }

    /** Notes that a request has ended, whichever way. */
    public void ended() {
        running--;
    }

    public ServerHealth health() {
        return health;
    }
}
