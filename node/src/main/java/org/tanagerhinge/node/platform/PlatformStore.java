package org.tanagerhinge.node.platform;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/** What the system asks of the platform's key-value service. Calls block and belong on a thread of their own. */
public interface PlatformStore {
    /** A value and the version that a compare-and-swap must name. */
    record Versioned(String value, long version) {}

    /** Returns the value of a key, if it has one. */
    Optional<Versioned> read(String key) throws PlatformException;

    /** Returns all values whose keys begin with a prefix, in one call. */
    Map<String, Versioned> readAll(String prefix) throws PlatformException;

    /**
     * Writes a value if the key is still at a version.
     *
     * @param expected the version read before; 0 if the key must not exist
     * @return whether the write took effect
     * @throws PlatformException if no answer came; the write may have taken effect all the same
     */
    boolean write(String key, String value, long expectedVersion) throws PlatformException;

    /** How a conditional write under a lease ended. */
    sealed interface Swap {
        /** It took effect. */
        record Done() implements Swap {}

        /** The key is at another version; nothing was changed. */
        record Differs(Optional<Versioned> current) implements Swap {}
    }

    /**
     * Writes a value that ends with a lease, if the key is still at a version; else tells what is there, in one call.
     *
     * @param expected the version read before; 0 if the key must not exist
     * @throws PlatformException if no answer came; the write may have taken effect all the same
     */
    Swap swap(String key, String value, long expectedVersion, long leaseId) throws PlatformException;

    /** Returns a new lease, whose keys are removed after a time. */
    long grantLease(Duration duration) throws PlatformException;
}
