package org.tanagerhinge.core.attempt;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.LongToIntFunction;

/**
 * Limits retries at other backend servers for each class of requests (a service or a profile).
 *
 * <p>It guards against retries multiplying the load when servers fail. In any window, the retries of all nodes together are
 * limited to a ratio of the requests of that window or of the one half a window before, and a fixed slack. Nodes don't
 * coordinate, and a node knows nothing of what was spent by nodes that have ended. Each one therefore spends only what it
 * has earned since its own start:
 *
 * <ul>
 *   <li>a {@link TokenBucket} is filled by requests as they come, and over time by the node's part of the slack;
 *   <li>a {@link PastRequestAllowance} lets a node spend at once what its earlier requests have earned.
 * </ul>
 *
 * <p>The ratio is divided between the two. The buckets of all nodes never hold more than the slack together, so the sum over
 * all nodes stays within the budget whichever of them end, start or get other requests meanwhile.
 */
public final class RetryBudget {
    /** Fraction of the budget that is spent, since a retry arrives later than it is decided on. */
    private static final double USABLE_FRACTION = 0.9;
    /**
     * Share of the ratio that requests of the past earn, and of the slack that a bucket may hold. The rest is earned as
     * requests come and time passes, which also serves nodes that have just started.
     */
    private static final double HELD_SHARE = 0.5;

    private final LongToIntFunction nodes;
    private final Map<String, Account> accounts = new HashMap<>();
    private long startedAtMillis;
    private double ratio;
    private double slack;
    private long windowMillis;

    private RetryBudget(double ratio, double slack, long windowMillis, long startedAtMillis, LongToIntFunction nodes) {
        this.startedAtMillis = startedAtMillis;
        this.nodes = nodes;
        this.ratio = ratio;
        this.slack = slack;
        this.windowMillis = windowMillis;
    }

    /**
     * Creates the budget of a node that has earned nothing yet.
     *
     * @param ratio retries for each request in a window
     * @param slack retries in a window in addition, of all nodes together
     * @param windowMillis length of the window
     * @param startedAtMillis time from which this node earns its part of the slack
     * @param nodes returns the number of nodes among which the slack is divided at a time in milliseconds; 0 if this
     *     node must not spend any of it
     */
    public static RetryBudget of(
            double ratio, double slack, long windowMillis, long startedAtMillis, LongToIntFunction nodes) {
        return new RetryBudget(ratio, slack, windowMillis, startedAtMillis, nodes);
    }

    /** Changes the limits; if the length of the window changes, what was earned is lost. */
    public void setLimits(double newRatio, double newSlack, long newWindowMillis, long nowMillis) {
        if (newWindowMillis != windowMillis) {
            accounts.clear();
            startedAtMillis = nowMillis;
        }
        ratio = newRatio;
        slack = newSlack;
        windowMillis = newWindowMillis;
    }

    /** Records a request of a class. */
    public void recordRequest(String requestClass, long nowMillis) {
        Account account = account(requestClass, nowMillis);
        account.bucket.add((1 - HELD_SHARE) * USABLE_FRACTION * ratio);
        account.past.recordRequest(nowMillis);
    }

    /** Returns whether the budget allows a retry. */
    public boolean allows(String requestClass, long nowMillis) {
        Account account = account(requestClass, nowMillis);
        double fromPast = 1 - Math.min(1, account.bucket.tokens());
        return fromPast <= 0 || fromPast <= account.past.available(pastRatio(), nowMillis);
    }

    /** Takes one retry if the budget allows it; returns whether it does. */
    public boolean tryTake(String requestClass, long nowMillis) {
        if (!allows(requestClass, nowMillis)) {
            return false;
        }
        Account account = account(requestClass, nowMillis);
        double fromBucket = Math.min(1, account.bucket.tokens());
        account.bucket.take(fromBucket);
        account.past.recordRetry(1 - fromBucket, nowMillis);
        return true;
    }

    /**
     * Describes what a node has spent of the budget of a class.
     *
     * @param retries retries that this node took in the window
     * @param retriesLeft retries that it could still take now
     */
    public record Usage(int retries, double retriesLeft) {}

    /** Returns what this node has spent of the budget of a class. */
    public Usage usage(String requestClass, long nowMillis) {
        Account account = account(requestClass, nowMillis);
        return new Usage(
                account.past.retries(nowMillis),
                account.bucket.tokens() + account.past.available(pastRatio(), nowMillis));
    }

    /** Returns the classes of which requests were recorded. */
    public Set<String> classes() {
        return accounts.keySet();
    }

    /** Returns the number of nodes among which the slack is divided; 0 if this node must not spend any of it. */
    public int nodeCount(long nowMillis) {
        return nodes.applyAsInt(nowMillis);
    }

    private double pastRatio() {
        return HELD_SHARE * USABLE_FRACTION * ratio;
    }

    private Account account(String requestClass, long nowMillis) {
        Account account = accounts.computeIfAbsent(requestClass, key -> new Account());
        int count = nodeCount(nowMillis);
        if (count == 0) {
            account.bucket.drain();
        } else {
            double ownSlack = USABLE_FRACTION * slack / count;
            account.bucket.refill(HELD_SHARE * ownSlack, (1 - HELD_SHARE) * ownSlack / windowMillis, nowMillis);
        }
        return account;
    }

    /** What this node has earned and spent for one class. */
    private final class Account {
        private final TokenBucket bucket = TokenBucket.emptyAt(startedAtMillis);
        private final PastRequestAllowance past = PastRequestAllowance.of(windowMillis);
    }
}
