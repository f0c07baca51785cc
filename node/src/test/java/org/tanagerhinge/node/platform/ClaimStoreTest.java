package org.tanagerhinge.node.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.core.claim.ClaimDecision;
import org.tanagerhinge.core.id.KeyDigest;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.message.ClaimEntry;
import org.tanagerhinge.core.message.StoredClaim;

/** Tests claims of two processes across restores of the store they share. */
class ClaimStoreTest {
    private static final KeyDigest KEY = digest("key");

    private Instant now = Instant.EPOCH;
    private final RestorableStore store = new RestorableStore();
    private final ClaimStore first = ClaimStore.in(store, () -> now);
    private final ClaimStore second = ClaimStore.in(store, () -> now);

    /** Guards against a repeat that is granted a key because the store lost the claim of the first call. */
    @Test
    void claimLostInARestoreIsWrittenAgainAndFollowed() throws PlatformException {
        settle();
        ClaimEntry granted = granted(first.claim(request("r1"), 0));
        store.restoreEmpty();
        assertInstanceOf(ClaimDecision.Unsettled.class, second.claim(request("r2"), 0));
        first.recover();
        settle();
        assertEquals(new ClaimDecision.HeldByOther(granted), second.claim(request("r2"), 0));
    }

    /** Guards against a grant in the time in which the process that knows the lost claim has not written it yet. */
    @Test
    void nothingIsSettledBeforeTheHoldTimeHasPassed() throws PlatformException {
        settle();
        store.restoreEmpty();
        second.claim(request("r2"), 0);
        for (int i = 0; i < 10; i++) {
            second.recover();
            assertInstanceOf(ClaimDecision.Unsettled.class, second.claim(request("r2"), 0));
            now = now.plusSeconds(1);
        }
        second.recover();
        granted(second.claim(request("r2"), 0));
    }

    /** Guards against a key that runs twice because the only process that was granted it ended before a restore. */
    @Test
    void reportedClaimOfAProcessThatEndedIsWrittenAgain() throws PlatformException {
        settle();
        ClaimEntry granted = granted(first.claim(request("r1"), 0));
        second.keep(new StoredClaim(granted, store.era));
        store.restoreEmpty();
        for (int i = 0; i < 12; i++) {
            second.recover();
            now = now.plusSeconds(1);
        }
        assertEquals(new ClaimDecision.HeldByOther(granted), second.claim(request("r2"), 0));
    }

    /** Guards against a grant between a late report of a lost claim and the next time that claims are written again. */
    @Test
    void claimReportedAfterClaimsWereSettledIsWrittenBeforeTheKeyIsGranted() throws PlatformException {
        settle();
        ClaimEntry granted = granted(first.claim(request("r1"), 0));
        long era = store.era;
        store.restoreEmpty();
        for (int i = 0; i < 12; i++) {
            second.recover();
            now = now.plusSeconds(1);
        }
        second.keep(new StoredClaim(granted, era));
        assertTrue(second.recoveryDue());
        assertEquals(new ClaimDecision.HeldByOther(granted), second.claim(request("r2"), 0));
        assertFalse(second.recoveryDue());
    }

    /** Guards against writes under a lease that the restored store does not know, all of which would fail. */
    @Test
    void claimsAreWrittenUnderALeaseOfTheCurrentEra() throws PlatformException {
        settle();
        first.claim(request("r1"), 0);
        store.restoreEmpty();
        first.claim(request("r1"), 0);
        settle();
        assertEquals(Set.of(), store.writesUnderLostLeases);
    }

    /** Guards against a generation that restarts while an agent has closed the one before. */
    @Test
    void generationDoesNotRestartWhenTheStoreLostTheClaim() throws PlatformException {
        settle();
        store.restoreEmpty();
        first.claim(request("r1"), 0);
        settle();
        store.values.clear();
        assertEquals(4, granted(first.claim(request("r1"), 3)).generation());
    }

    /** Guards against a router that takes longer to write its claims again than others wait for it. */
    @Test
    void claimsThatTheStoreStillHasAreReadManyAtATime() throws PlatformException {
        settle();
        int claims = 10 * PlatformStore.MAX_KEYS_PER_READ;
        for (int key = 0; key < claims; key++) {
            granted(first.claim(request("r" + key, digest("key " + key)), 0));
        }
        store.restore();
        store.values.remove("tanagerhinge/claims/" + digest("key 3"));
        store.calls = 0;
        first.recover();
        assertEquals(10 + 1, store.calls);
        assertTrue(store.values.containsKey("tanagerhinge/claims/" + digest("key 3")));
    }

    /** Guards against refusing keys for good in a store that states no era. */
    @Test
    void storeWithoutErasIsUsedAtOnce() {
        store.era = 0;
        granted(first.claim(request("r1"), 0));
    }

    /** Lets both processes learn of the era and wait until claims are settled. */
    private void settle() throws PlatformException {
        for (int i = 0; i < 12; i++) {
            first.recover();
            second.recover();
            now = now.plusSeconds(1);
        }
    }

    private static ClaimEntry granted(ClaimDecision decision) {
        return assertInstanceOf(ClaimDecision.Granted.class, decision).claim().entry();
    }

    private static ClaimEntry request(String id) {
        return request(id, KEY);
    }

    private static ClaimEntry request(String id, KeyDigest digest) {
        return ClaimEntry.requested(digest, "body", ServerId.of("engine-0"), 1, RequestId.of(id));
    }

    private static KeyDigest digest(String key) {
        return new KeyDigest(KeyDigest.sha256Hex(key).substring(0, 32));
    }

    /** Store whose content is lost in a restore. */
    private static final class RestorableStore implements PlatformStore {
        private final Map<String, Versioned> values = new HashMap<>();
        private final Set<Long> leases = new HashSet<>();
        private final Set<String> writesUnderLostLeases = new HashSet<>();
        private long era = 1;
        private long version;
        private long nextLease = 1;
        private int calls;

        void restoreEmpty() {
            values.clear();
            restore();
        }

        void restore() {
            leases.clear();
            era++;
        }

        @Override
        public Optional<Versioned> read(String key) {
            return Optional.ofNullable(values.get(key));
        }

        @Override
        public Map<String, Versioned> readEach(List<String> keys) {
            calls++;
            Map<String, Versioned> found = new HashMap<>(values);
            found.keySet().retainAll(keys);
            return found;
        }

        @Override
        public Map<String, Versioned> readAll(String prefix) {
            return values;
        }

        @Override
        public boolean write(String key, String value, long expectedVersion) {
            values.put(key, new Versioned(value, ++version));
            return true;
        }

        @Override
        public Swap swap(String key, String value, long expectedVersion, long leaseId) {
            calls++;
            Versioned current = values.get(key);
            if ((current == null ? 0 : current.version()) != expectedVersion) {
                return new Swap.Differs(Optional.ofNullable(current));
            }
            if (!leases.contains(leaseId)) {
                writesUnderLostLeases.add(key);
            }
            values.put(key, new Versioned(value, ++version));
            return new Swap.Done();
        }

        @Override
        public long grantLease(Duration length) {
            leases.add(nextLease);
            return nextLease++;
        }

        @Override
        public long era() {
            return era;
        }
    }
}
