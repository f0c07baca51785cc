package org.tanagerhinge.node.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tanagerhinge.core.claim.ClaimDecision;
import org.tanagerhinge.core.claim.ClaimRecovery;
import org.tanagerhinge.core.id.KeyDigest;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.message.ClaimEntry;
import org.tanagerhinge.core.message.StoredClaim;
import org.tanagerhinge.core.store.StoreEra;
import org.tanagerhinge.node.log.LogEvent;
import org.tanagerhinge.node.log.LogField;
import org.tanagerhinge.node.log.LogLine;

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

    /** Far more than a claim changes; each may still be followed by another. */
    private static final long MAX_GENERATION = 1L << 52;

    private static final String KEY_PREFIX = "tanagerhinge/claims/";
    /** Key of the newest era in which a router has waited until others had written their claims again. */
    private static final String SETTLED_ERA_KEY = "tanagerhinge/claims-settled-era";

    private static final ClaimDecision UNSETTLED_AFTER_RESTORE =
            new ClaimDecision.Unsettled("the store was restored; claims are being written again");
    private static final ObjectMapper JSON = new ObjectMapper();

    private final PlatformStore store;
    private final InstantSource clock;
    private final ClaimRecovery recovery;
    private long currentLease;
    private long leaseEra;
    private Instant leaseGrantedAt = Instant.MIN;

    private ClaimStore(PlatformStore store, InstantSource clock) {
        this.store = store;
        this.clock = clock;
        this.recovery = ClaimRecovery.create(clock);
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
        recovery.observe(store.era());
        if (!recovery.settling()) {
            return UNSETTLED_AFTER_RESTORE;
        }
        long era = recovery.era();
        try {
            Optional<ClaimEntry> pending = recovery.pending(requested.digest());
            if (pending.isPresent()) {
                restore(pending.get(), Optional.empty(), era);
            }
            ClaimDecision decision = decide(requested, expectedGeneration, era);
            recovery.observe(store.era());
            return switch (decision) {
                case ClaimDecision.Granted(StoredClaim claim) -> retainOr(claim.entry(), era, decision);
                case ClaimDecision.HeldByOther(ClaimEntry entry) -> retainOr(entry, era, decision);
                case ClaimDecision.Unsettled unsettled -> unsettled;
            };
        } catch (PlatformException e) {
            return new ClaimDecision.Unsettled(e.getMessage());
        }
    }

    private ClaimDecision retainOr(ClaimEntry entry, long era, ClaimDecision decision) {
        return recovery.retain(entry, era) ? decision : UNSETTLED_AFTER_RESTORE;
    }

    private ClaimDecision decide(ClaimEntry requested, long expectedGeneration, long era) throws PlatformException {
        Optional<PlatformStore.Versioned> current =
                expectedGeneration == 0 ? Optional.empty() : store.read(key(requested.digest()));
        for (int attempt = 0; attempt < MAX_SWAP_ATTEMPTS; attempt++) {
            ClaimEntry held = current.isEmpty()
                    ? null
                    : parse(requested.digest(), current.get().value());
            ClaimDecision decision = ClaimDecision.decide(held, requested, expectedGeneration, era);
            if (decision != null) {
                return decision;
            }
            long replaced = Math.max(expectedGeneration, held == null ? 0 : held.generation());
            ClaimEntry next = requested.withGeneration(replaced + 1);
            PlatformStore.Swap swap = swap(next, current);
            if (swap instanceof PlatformStore.Swap.Differs differs) {
                current = differs.current();
            } else {
                return new ClaimDecision.Granted(new StoredClaim(next, era));
            }
        }
        return new ClaimDecision.Unsettled("other writers changed the claim at each attempt");
    }

    private PlatformStore.Swap swap(ClaimEntry entry, Optional<PlatformStore.Versioned> current)
            throws PlatformException {
        long version = current.map(PlatformStore.Versioned::version).orElse(0L);
        return store.swap(key(entry.digest()), render(entry), version, currentLease());
    }

    /** Releases a claim, so that another request can claim the key; does nothing if it changed owner or generation. */
    public void release(ClaimEntry claim) throws PlatformException {
        long era = recovery.era();
        Optional<PlatformStore.Versioned> current = store.read(key(claim.digest()));
        if (current.isEmpty()) {
            return;
        }
        ClaimEntry held = parse(claim.digest(), current.get().value());
        if (held.generation() == claim.generation()
                && held.owner().equals(claim.owner())
                && !held.free()
                && swap(claim.released(), current) instanceof PlatformStore.Swap.Done) {
            recovery.observe(store.era());
            recovery.retain(claim.released(), era);
        }
    }

    /** Returns the latest era that the store has stated to this process. */
    public long era() {
        recovery.observe(store.era());
        return recovery.era();
    }

    /** Asks the store for its era. */
    public void refreshEra() throws PlatformException {
        store.read(SETTLED_ERA_KEY);
        recovery.observe(store.era());
    }

    /** Keeps a claim that an agent reported, to be written again if the store loses it. */
    public void keep(StoredClaim claim) {
        recovery.keep(claim);
    }

    /**
     * Returns whether {@link #recover} has to call the store: it was restored, and claims aren't settled yet or an agent
     * has reported one that may be lost.
     */
    public boolean recoveryDue() {
        recovery.observe(store.era());
        return !recovery.settling() || !recovery.pending().isEmpty();
    }

    /**
     * Writes the claims of this process again if the store was restored from an older copy, and settles claims again
     * when other processes had time to do the same; to be called about once a second.
     */
    public void recover() throws PlatformException {
        if (!recoveryDue()) {
            return;
        }
        restorePending(recovery.era());
        if (recovery.settling()) {
            return;
        }
        Optional<PlatformStore.Versioned> marker = store.read(SETTLED_ERA_KEY);
        recovery.observe(store.era());
        long settledEra = marker.map(ClaimStore::eraOf).orElse(StoreEra.UNKNOWN);
        if (recovery.storeAnswered(settledEra) && settledEra < recovery.era()) {
            long version = marker.map(PlatformStore.Versioned::version).orElse(0L);
            store.write(SETTLED_ERA_KEY, Long.toString(recovery.era()), version);
        }
    }

    /** Reads the pending claims many at a time, since most of them are in the store, and writes those that it lost. */
    private void restorePending(long era) throws PlatformException {
        List<ClaimEntry> pending = recovery.pending();
        for (int from = 0; from < pending.size(); from += PlatformStore.MAX_KEYS_PER_READ) {
            int to = Math.min(pending.size(), from + PlatformStore.MAX_KEYS_PER_READ);
            List<ClaimEntry> chunk = pending.subList(from, to);
            Map<String, PlatformStore.Versioned> stored = store.readEach(
                    chunk.stream().map(entry -> key(entry.digest())).toList());
            for (ClaimEntry entry : chunk) {
                restore(entry, Optional.ofNullable(stored.get(key(entry.digest()))), era);
            }
        }
    }

    private void restore(ClaimEntry entry, Optional<PlatformStore.Versioned> stored, long era)
            throws PlatformException {
        Optional<PlatformStore.Versioned> current = stored;
        for (int attempt = 0; attempt < MAX_SWAP_ATTEMPTS; attempt++) {
            // What is no claim is replaced: the claims of all other keys wait until this one is written.
            ClaimEntry held = claimIn(current, entry.digest()).orElse(null);
            if (!ClaimDecision.restores(held, entry)) {
                recovery.restored(held, era);
                return;
            }
            if (!(swap(entry, current) instanceof PlatformStore.Swap.Differs differs)) {
                recovery.restored(entry, era);
                return;
            }
            current = differs.current();
        }
        throw new PlatformException("write a claim again", "other writers changed it at each attempt", null);
    }

    private static long eraOf(PlatformStore.Versioned settled) {
        try {
            return Long.parseLong(settled.value());
        } catch (NumberFormatException e) {
            return StoreEra.UNKNOWN;
        }
    }

    private synchronized long currentLease() throws PlatformException {
        Instant now = clock.instant();
        long era = recovery.era();
        if (leaseGrantedAt.equals(Instant.MIN)
                // The store may have lost the lease in a restore, or granted its id to another process.
                || leaseEra != era
                || leaseGrantedAt.plus(LEASE_SHARING_PERIOD).isBefore(now)) {
            currentLease = store.grantLease(MIN_CLAIM_LIFETIME.plus(LEASE_SHARING_PERIOD));
            leaseGrantedAt = now;
            leaseEra = era;
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

    private static ClaimEntry parse(KeyDigest digest, String text) throws PlatformException {
        try {
            JsonNode root = JSON.readTree(text);
            if (!root.path("digest").asText().equals(digest.hex())) {
                throw new IllegalArgumentException("digest is not that of the key");
            }
            return new ClaimEntry(
                    digest,
                    root.path("body").asText(),
                    ServerId.of(root.path("executor").asText()),
                    integer(root, "executorIncarnation", Long.MAX_VALUE),
                    integer(root, "generation", MAX_GENERATION),
                    RequestId.of(root.path("owner").asText()),
                    root.path("free").asBoolean());
        } catch (JsonProcessingException | IllegalArgumentException e) {
            throw new PlatformException("read a claim", "not a claim: " + e.getMessage(), e);
        }
    }

    private static long integer(JsonNode root, String field, long max) {
        JsonNode value = root.path(field);
        if (!value.isIntegralNumber() || !value.canConvertToLong() || value.asLong() > max) {
            throw new IllegalArgumentException(field + " is not an integer of at most " + max);
        }
        return value.asLong();
    }

    /** Returns the claim that a value holds, empty if there is no value or it is none. */
    private static Optional<ClaimEntry> claimIn(Optional<PlatformStore.Versioned> stored, KeyDigest digest) {
        if (stored.isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(parse(digest, stored.get().value()));
        } catch (PlatformException e) {
            LogLine.failure(LogEvent.ENTRY_UNREADABLE)
                    .with(LogField.KEY, key(digest))
                    .with(LogField.WHY, e.getMessage())
                    .write();
            return Optional.empty();
        }
    }
}
