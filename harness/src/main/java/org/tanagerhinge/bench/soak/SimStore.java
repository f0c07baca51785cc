package org.tanagerhinge.bench.soak;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.tanagerhinge.core.claim.ClaimDecision;
import org.tanagerhinge.core.config.ClusterConfig;
import org.tanagerhinge.core.config.InvalidConfigException;
import org.tanagerhinge.core.message.ClaimEntry;
import org.tanagerhinge.node.platform.ClaimStore;
import org.tanagerhinge.node.platform.ConfigStore;
import org.tanagerhinge.node.platform.PlatformException;
import org.tanagerhinge.node.platform.PlatformStore;

/** A simulated platform service: compare-and-swap over a map, outages, slowness, and answers that are lost. */
final class SimStore implements PlatformStore {
    private final Simulation sim;
    private final Map<String, Versioned> values = new TreeMap<>();
    private final Map<String, Versioned> stale = new HashMap<>();
    /** Claims are apart from the documents: they are never read from a replica that is behind. */
    private final Map<String, Versioned> claimed = new HashMap<>();

    private final ConfigStore documents = ConfigStore.in(this);
    private final ClaimStore claims;
    private long version;
    private int loseAnswers;
    private boolean down;
    private Duration slowness = Duration.ofMillis(2);
    private long calls;

    SimStore(Simulation sim) {
        this.sim = sim;
        this.claims = ClaimStore.in(this, () -> sim.timeline.instant());
    }

    ConfigStore documents() {
        return documents;
    }

    boolean isDown() {
        return down;
    }

    void down(Duration length) {
        down = true;
        sim.timeline.after(length, () -> down = false);
    }

    void slow(Duration each, Duration length) {
        slowness = each;
        sim.timeline.after(length, () -> slowness = Duration.ofMillis(2));
    }

    void loseNextAnswer() {
        loseAnswers = 1;
    }

    long calls() {
        return calls;
    }

    /** Reads the configuration for a node; the answer comes later, or never. */
    void readFor(SimNode node, Consumer<ClusterConfig> found) {
        calls++;
        if (down || node.paused()) {
            return;
        }
        try {
            ClusterConfig config = sim.chance(0.05) && !stale.isEmpty() ? staleConfig() : documents.read();
            sim.timeline.after(slowness, () -> found.accept(config));
        } catch (PlatformException | InvalidConfigException e) {
            sim.counted("store_read_failed");
        }
    }

    /** Answers as a replica that is behind would. */
    private ClusterConfig staleConfig() throws PlatformException, InvalidConfigException {
        Map<String, Versioned> now = new TreeMap<>(values);
        values.putAll(stale);
        try {
            return documents.read();
        } finally {
            values.clear();
            values.putAll(now);
        }
    }

    /**
     * Claims a key; the answer comes later, and may be lost: the write takes effect at once, seconds later, or never.
     */
    void claimFor(ClaimEntry wanted, long expectedGeneration, Consumer<ClaimDecision> decided) {
        calls++;
        boolean lost = sim.chance(0.005);
        if (down || lost) {
            if (!down || sim.chance(0.1)) {
                Duration late = sim.chance(0.5) ? slowness : Duration.ofMillis(500 + sim.random.nextInt(4000));
                sim.timeline.after(late, () -> claims.claim(wanted, expectedGeneration));
            }
            sim.timeline.after(Duration.ofSeconds(1), () -> decided.accept(new ClaimDecision.Unsettled("no answer")));
            return;
        }
        sim.timeline.after(slowness.dividedBy(2), () -> {
            ClaimDecision decision = claims.claim(wanted, expectedGeneration);
            sim.timeline.log(() -> "claim " + wanted + " replacing " + expectedGeneration + ": " + decision);
            sim.timeline.after(slowness.dividedBy(2), () -> decided.accept(decision));
        });
    }

    /** Gives a claim back; the call may be lost. */
    void releaseFor(ClaimEntry claim) {
        calls++;
        if (sim.chance(0.01)) {
            return;
        }
        sim.timeline.after(slowness, () -> {
            try {
                claims.release(claim);
            } catch (PlatformException e) {
                sim.counted("claim_release_failed");
            }
        });
    }

    @Override
    public Swap swap(String key, String value, long expected, long lease) throws PlatformException {
        refuseIfDown("swap");
        Versioned before = claimed.get(key);
        if ((before == null ? 0 : before.version()) != expected) {
            return new Swap.Differs(Optional.ofNullable(before));
        }
        claimed.put(key, new Versioned(value, ++version));
        return new Swap.Done();
    }

    @Override
    public long grantLease(Duration length) {
        return 1;
    }

    @Override
    public Optional<Versioned> read(String key) throws PlatformException {
        refuseIfDown("read");
        Versioned claim = claimed.get(key);
        return Optional.ofNullable(claim == null ? values.get(key) : claim);
    }

    @Override
    public Map<String, Versioned> readAll(String prefix) throws PlatformException {
        refuseIfDown("read");
        return new TreeMap<>(values);
    }

    @Override
    public boolean write(String key, String value, long expected) throws PlatformException {
        refuseIfDown("write");
        Versioned before = values.get(key);
        if ((before == null ? 0 : before.version()) != expected) {
            return false;
        }
        if (before != null) {
            stale.put(key, before);
        }
        values.put(key, new Versioned(value, ++version));
        if (loseAnswers > 0) {
            loseAnswers--;
            throw new PlatformException("write", "the answer was lost", null);
        }
        return true;
    }

    private void refuseIfDown(String call) throws PlatformException {
        if (down) {
            throw new PlatformException(call, "down", null);
        }
    }
}
