package org.tanagerhinge.node.platform;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tanagerhinge.core.store.StoreEra;

/** Blocking client of the platform's key-value store, with compare-and-swap and leases. */
public interface PlatformStore {
    /** Maximum number of keys of one {@link #readEach}; etcd takes no more operations in a transaction by default. */
    int MAX_KEYS_PER_READ = 128;

    /** A value and its version, for compare-and-swap. */
    record Versioned(String value, long version) {}

    /** Returns the value of a key, or empty if the key does not exist. */
    Optional<Versioned> read(String key) throws PlatformException;

    /** Returns the values of those of the keys that exist, in one call; at most {@link #MAX_KEYS_PER_READ} keys. */
    Map<String, Versioned> readEach(List<String> keys) throws PlatformException;

    /** Returns all values by key whose keys start with a prefix, in one call. */
    Map<String, Versioned> readAll(String prefix) throws PlatformException;

    /**
     * Writes a value if the key is still at the expected version.
     *
     * @param expectedVersion the version read before; 0 if the key must not exist
     * @return whether the write took effect
     * @throws PlatformException if no answer came; the write may have taken effect all the same
     */
    boolean write(String key, String value, long expectedVersion) throws PlatformException;

    /** Result of a conditional write under a lease. */
    sealed interface Swap {
        /** The write took effect. */
        record Done() implements Swap {}

        /** The key is at another version, or does not exist; nothing was written. */
        record Differs(Optional<Versioned> current) implements Swap {}
    }

    /**
     * Writes a value under a lease if the key is at the expected version; otherwise returns the current value.
     *
     * @param expectedVersion the version read before; 0 if the key must not exist
     * @throws PlatformException if no answer came; the write may have taken effect all the same
     */
    Swap swap(String key, String value, long expectedVersion, long leaseId) throws PlatformException;

    /** Grants a lease and returns its id; keys under it are removed after the duration. */
    long grantLease(Duration duration) throws PlatformException;

    /**
     * Returns the latest era that the store has stated in an answer, or {@link StoreEra#UNKNOWN}. An answer of an
     * earlier era counts as a failed call.
     */
    default long era() {
        return StoreEra.UNKNOWN;
    }
}
