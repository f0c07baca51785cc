package org.tanagerhinge.core.relay;

import java.util.OptionalDouble;

/**
 * Decides which new connections of callers a node closes unread, because it gets far more of them than the other nodes
 * and falls behind.
 *
 * <p>A load balancer may send most new connections to one node. If that node read all their requests, it would serve
 * none of them in time. A caller whose connection is closed unread reaches another node at once.
 *
 * <p>The share that is closed follows the delay of the node's event loop once that lasts. Without the comparison with
 * other nodes, nodes that are all overloaded would pass their callers to and fro.
 */
public final class ConnectionShedding {
    /** Multiple of the other nodes' mean rate of new connections from which on a node may close some. */
    private static final double SKEW = 2;
    /** Rate of new connections below which a node closes none. */
    private static final double MIN_CONNECTIONS_PER_SECOND = 10;
    /** Time constant of the rate of new connections. */
    private static final double DECAY_MILLIS = 1_000;
    /** Delay of the event loop above which a larger share is closed. */
    static final long MAX_DELAY_MILLIS = 40;
    /** Delay of the event loop below which a smaller share is closed. */
    static final long LOW_DELAY_MILLIS = 15;

    /** Delays in a row that show a node to fall behind; a single one is a pause, as of the garbage collector. */
    static final int MIN_DELAYS = 3;

    private static final double INCREASE = 0.1;
    private static final double DECREASE = 0.02;
    /** Share of closed connections from which on callers with open ones are asked to reconnect as well. */
    private static final double DISPERSE_SHARE = 0.9;

    private double recentConnections;
    private long decayedAtMillis;
    private OptionalDouble peerRate = OptionalDouble.empty();
    private int delaysInARow;
    private double closedShare;
    private double owed;

    private ConnectionShedding() {}

    /** Creates an instance that closes no connections. */
    public static ConnectionShedding create() {
        return new ConnectionShedding();
    }

    /** Records a new connection; returns whether it should be closed unread. */
    public boolean recordConnection(long nowMillis) {
        decay(nowMillis);
        recentConnections++;
        if (closedShare == 0 || !skewed(nowMillis)) {
            return false;
        }
        owed += closedShare;
        if (owed < 1) {
            return false;
        }
        owed--;
        return true;
    }

    /** Returns the rate of new connections, including those that were closed. */
    public double connectionsPerSecond(long nowMillis) {
        decay(nowMillis);
        return recentConnections * 1_000 / DECAY_MILLIS;
    }

    private void decay(long nowMillis) {
        recentConnections *= Math.exp((decayedAtMillis - nowMillis) / DECAY_MILLIS);
        decayedAtMillis = nowMillis;
    }

    /** Sets the mean rate of new connections at the other nodes; empty if none is known. */
    public void updatePeerRate(OptionalDouble connectionsPerSecond) {
        peerRate = connectionsPerSecond;
    }

    /** Returns whether this node gets so many more new connections than others that it may close some. */
    public boolean skewed(long nowMillis) {
        double rate = connectionsPerSecond(nowMillis);
        return peerRate.isPresent() && rate >= MIN_CONNECTIONS_PER_SECOND && rate > SKEW * peerRate.getAsDouble();
    }

    /** Adapts the share of closed connections to a delay of the event loop. */
    public void recordLoopDelay(long delayMillis, long nowMillis) {
        boolean late = delayMillis > MAX_DELAY_MILLIS;
        delaysInARow = late ? delaysInARow + 1 : 0;
        if (!skewed(nowMillis)) {
            closedShare = 0;
        } else if (late) {
            closedShare = Math.min(1, closedShare + increase());
        } else if (delayMillis < LOW_DELAY_MILLIS) {
            closedShare = Math.max(0, closedShare - DECREASE);
        }
    }

    private double increase() {
        if (delaysInARow < MIN_DELAYS) {
            return 0;
        }
        return delaysInARow == MIN_DELAYS ? MIN_DELAYS * INCREASE : INCREASE;
    }

    /** Returns the share of new connections that are closed. */
    public double closedShare() {
        return closedShare;
    }

    /** Returns whether callers should open new connections for their next requests, which reach other nodes. */
    public boolean dispersesCallers() {
        return closedShare >= DISPERSE_SHARE;
    }
}
