package org.tanagerhinge.bench.soak;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
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

/** Simulates the platform's store: compare-and-swap on a map, with outages, latency, stale reads and lost responses. */
final class SimStore implements PlatformStore {
    private final Simulation sim;
    private final Map<String, Versioned> values = new TreeMap<>();
    private final Map<String, Versioned> previousValues = new HashMap<>();
    /** Claims by key, kept apart from the documents because they are never read from a stale replica. */
    private final Map<String, Versioned> claimValues = new HashMap<>();

    private final ConfigStore documents = ConfigStore.in(this);
    private long version;
    private long era = 1;
    private int responsesToLose;
    private boolean down;
    private Duration callLatency = Duration.ofMillis(2);
    private long calls;

    SimStore(Simulation sim) {
        this.sim = sim;
        values.put("tanagerhinge/claims-settled-era", new Versioned(Long.toString(era), ++version));
    }

    ConfigStore documents() {
        return documents;
    }

    boolean isDown() {
        return down;
    }

    void down(Duration duration) {
        down = true;
        sim.scheduler.after(duration, () -> down = false);
    }

    void slowDown(Duration latency, Duration duration) {
        callLatency = latency;
        sim.scheduler.after(duration, () -> callLatency = Duration.ofMillis(2));
    }

    /**
     * Restores the store from a copy that is taken now: writes after it are lost, and their versions are assigned
     * again. The operator's documents are written again a little later, with new versions, unless they were edited
     * meanwhile.
     *
     * @param age age of the copy when the store is restored
     * @param rewriteDelay time from the restore until the documents are written again
     */
    void restoreAfter(Duration age, Duration rewriteDelay) {
        Map<String, Versioned> copiedValues = new TreeMap<>(values);
        Map<String, Versioned> copiedClaims = new HashMap<>(claimValues);
        long copiedVersion = version;
        sim.scheduler.after(age, () -> {
            Map<String, Versioned> lost = new TreeMap<>(values);
            lost.entrySet().removeIf(entry -> entry.getValue().equals(copiedValues.get(entry.getKey())));
            sim.scheduler.log(() -> "FAULT store restored from a copy " + age + " old, lost " + lost.keySet());
            values.clear();
            values.putAll(copiedValues);
            claimValues.clear();
            claimValues.putAll(copiedClaims);
            version = copiedVersion;
            era++;
            sim.scheduler.after(
                    rewriteDelay,
                    () -> lost.forEach((key, value) -> {
                        if (Objects.equals(values.get(key), copiedValues.get(key))) {
                            values.put(key, new Versioned(value.value(), ++version));
                        }
                    }));
        });
    }

    void loseNextResponse() {
        responsesToLose = 1;
    }

    long calls() {
        return calls;
    }

    /** Reads the configuration for a node; the response arrives after the latency, or never. */
    void readConfig(SimNode node, Consumer<ClusterConfig> callback) {
        calls++;
        if (down || node.paused()) {
            return;
        }
        try {
            ClusterConfig config = sim.chance(0.05) && !previousValues.isEmpty() ? staleConfig() : documents.read();
            sim.scheduler.after(callLatency, () -> callback.accept(config));
        } catch (PlatformException | InvalidConfigException e) {
            sim.increment("store_read_failed");
        }
    }

    /** Reads the configuration as a stale replica would return it. */
    private ClusterConfig staleConfig() throws PlatformException, InvalidConfigException {
        Map<String, Versioned> current = new TreeMap<>(values);
        values.putAll(previousValues);
        try {
            return documents.read();
        } finally {
            values.clear();
            values.putAll(current);
        }
    }

    /** Returns the claims of a router process that has just started. */
    ClaimStore newClaims(SimStoreClient client) {
        return ClaimStore.in(client, sim.scheduler);
    }

    /** Polls the store for a router, which writes its claims again if the store was restored. */
    void recoverClaims(SimStoreClient client, ClaimStore claims) {
        calls++;
        try {
            client.readAll("");
            claims.recover();
        } catch (PlatformException e) {
            sim.increment("claim_recovery_failed");
        }
    }

    /**
     * Claims a key; the response arrives after the latency or is lost, and then the write takes effect at once, late
     * or never.
     */
    void submitClaim(
            ClaimStore claims, ClaimEntry requested, long expectedGeneration, Consumer<ClaimDecision> callback) {
        calls++;
        boolean lost = sim.chance(0.005);
        if (down || lost) {
            if (!down || sim.chance(0.1)) {
                Duration delay = sim.chance(0.5) ? callLatency : Duration.ofMillis(500 + sim.random.nextInt(4000));
                sim.scheduler.after(
                        delay, () -> newClaims(new SimStoreClient(this)).claim(requested, expectedGeneration));
            }
            sim.scheduler.after(
                    Duration.ofSeconds(1), () -> callback.accept(new ClaimDecision.Unsettled("no response")));
            return;
        }
        sim.scheduler.after(callLatency.dividedBy(2), () -> {
            ClaimDecision decision = claims.claim(requested, expectedGeneration);
            if (claims.recoveryDue()) {
                sim.increment("claim_held_after_restore");
            }
            sim.scheduler.log(() -> "claim " + requested + " replacing " + expectedGeneration + ": " + decision);
            sim.scheduler.after(callLatency.dividedBy(2), () -> callback.accept(decision));
        });
    }

    /** Releases a claim; the call may be lost. */
    void releaseClaim(ClaimStore claims, ClaimEntry claim) {
        calls++;
        if (sim.chance(0.01)) {
            return;
        }
        sim.scheduler.after(callLatency, () -> {
            try {
                claims.release(claim);
            } catch (PlatformException e) {
                sim.increment("claim_release_failed");
            }
        });
    }

    @Override
    public Swap swap(String key, String value, long expectedVersion, long leaseId) throws PlatformException {
        throwIfDown("swap");
        Versioned current = claimValues.get(key);
        if ((current == null ? 0 : current.version()) != expectedVersion) {
            return new Swap.Differs(Optional.ofNullable(current));
        }
        claimValues.put(key, new Versioned(value, ++version));
        return new Swap.Done();
    }

    @Override
    public long grantLease(Duration length) {
        return 1;
    }

    @Override
    public Optional<Versioned> read(String key) throws PlatformException {
        throwIfDown("read");
        Versioned claim = claimValues.get(key);
        return Optional.ofNullable(claim == null ? values.get(key) : claim);
    }

    @Override
    public Map<String, Versioned> readEach(List<String> keys) throws PlatformException {
        Map<String, Versioned> found = new TreeMap<>();
        for (String key : keys) {
            read(key).ifPresent(value -> found.put(key, value));
        }
        return found;
    }

    @Override
    public Map<String, Versioned> readAll(String prefix) throws PlatformException {
        throwIfDown("read");
        return new TreeMap<>(values);
    }

    @Override
    public boolean write(String key, String value, long expectedVersion) throws PlatformException {
        throwIfDown("write");
        Versioned current = values.get(key);
        if ((current == null ? 0 : current.version()) != expectedVersion) {
            return false;
        }
        if (current != null) {
            previousValues.put(key, current);
        }
        values.put(key, new Versioned(value, ++version));
        if (responsesToLose > 0) {
            responsesToLose--;
            throw new PlatformException("write", "the response was lost", null);
        }
        return true;
    }

    @Override
    public long era() {
        return era;
    }

    private void throwIfDown(String call) throws PlatformException {
        if (down) {
            throw new PlatformException(call, "down", null);
        }
    }
}
