package org.tanagerhinge.node.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.tanagerhinge.core.claim.ClaimDecision;
import org.tanagerhinge.core.id.KeyDigest;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.message.ClaimEntry;

/**
 * Stores claims of callers' idempotency keys: one value for each key in the platform's store, written by
 * compare-and-swap under a lease.
 *
 * <p>Claiming a new key takes one call. Claims of one process share a lease for a period, to save grant calls. Calls
 * block.
 */
public final class ClaimStore {
    /** Minimum lifetime of a claim; must exceed the hour for which agents remember a request, and any deadline. */
    private static final Duration MIN_CLAIM_LIFETIME = Duration.ofHours(2);
    /** Period during which new claims are attached to the same lease. */
    private static final Duration LEASE_SHARING_PERIOD = Duration.ofHours(1);
    /** Maximum number of swaps when concurrent writers keep changing the version. */
    private static final int MAX_SWAP_ATTEMPTS = 4;

    private static final String KEY_PREFIX = "tanagerhinge/claims/";
    private static final ObjectMapper JSON = new ObjectMapper();

    private final PlatformStore store;
    private final InstantSource clock;
    private long currentLease;
    private Instant leaseGrantedAt = Instant.MIN;

    private ClaimStore(PlatformStore store, InstantSource clock) {
        this.store = store;
        this.clock = clock;
    }

    /**
     * Returns a claim store on a key-value store.
     *
     * @param clock a monotonic clock
     */
    public static ClaimStore in(PlatformStore store, InstantSource clock) {
        return new ClaimStore(store, clock);
    }

    /**
     * Claims a key.
     *
     * @param expectedGeneration the generation that the claim replaces; 0 for a key not used before
     */
    public ClaimDecision claim(ClaimEntry requested, long expectedGeneration) {
        try {
            Optional<PlatformStore.Versioned> current =
                    expectedGeneration == 0 ? Optional.empty() : store.read(key(requested.digest()));
            for (int attempt = 0; attempt < MAX_SWAP_ATTEMPTS; attempt++) {
                ClaimEntry held = current.isEmpty() ? null : parse(current.get().value());
                ClaimDecision decision = ClaimDecision.decide(held, requested, expectedGeneration);
                if (decision != null) {
                    return decision;
                }
                ClaimEntry next = requested.withGeneration(held == null ? 1 : held.generation() + 1);
                long version = current.map(PlatformStore.Versioned::version).orElse(0L);
                PlatformStore.Swap swap = store.swap(key(requested.digest()), render(next), version, currentLease());
                if (swap instanceof PlatformStore.Swap.Differs differs) {
                    current = differs.current();
                } else {
                    return new ClaimDecision.Granted(next);
                }
            }
            return new ClaimDecision.Unsettled("other writers changed the claim at each attempt");
        } catch (PlatformException e) {
            return new ClaimDecision.Unsettled(e.getMessage());
        }
    }

    /** Releases a claim, so that another request can claim the key; does nothing if it changed owner or generation. */
    public void release(ClaimEntry claim) throws PlatformException {
        String key = key(claim.digest());
        Optional<PlatformStore.Versioned> current = store.read(key);
        if (current.isEmpty()) {
            return;
        }
        ClaimEntry held = parse(current.get().value());
        if (held.generation() == claim.generation() && held.owner().equals(claim.owner()) && !held.free()) {
            store.swap(key, render(claim.released()), current.get().version(), currentLease());
        }
    }

    private synchronized long currentLease() throws PlatformException {
        Instant now = clock.instant();
        if (leaseGrantedAt.equals(Instant.MIN)
                || leaseGrantedAt.plus(LEASE_SHARING_PERIOD).isBefore(now)) {
            currentLease = store.grantLease(MIN_CLAIM_LIFETIME.plus(LEASE_SHARING_PERIOD));
            leaseGrantedAt = now;
        }
        return currentLease;
    }

    private static String key(KeyDigest digest) {
        return KEY_PREFIX + digest.hex();
    }

    private static String render(ClaimEntry entry) {
        ObjectNode root = JSON.createObjectNode();
        root.put("digest", entry.digest().hex());
        root.put("body", entry.bodyDigest());
        root.put("executor", entry.executor().value());
        root.put("executorIncarnation", entry.executorIncarnation());
        root.put("generation", entry.generation());
        root.put("owner", entry.owner().value());
        root.put("free", entry.free());
        return root.toString();
    }

    private static ClaimEntry parse(String text) throws PlatformException {
        try {
            JsonNode root = JSON.readTree(text);
            return new ClaimEntry(
                    new KeyDigest(root.path("digest").asText()),
                    root.path("body").asText(),
                    ServerId.of(root.path("executor").asText()),
                    root.path("executorIncarnation").asLong(),
                    root.path("generation").asLong(),
                    RequestId.of(root.path("owner").asText()),
                    root.path("free").asBoolean());
        } catch (JsonProcessingException | IllegalArgumentException e) {
            throw new PlatformException("read a claim", "not a claim: " + e.getMessage(), e);
        }
    }
}
