package org.tanagerhinge.core.hash;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Implements rendezvous (highest random weight) hashing.
 *
 * <p>Adding or removing a choice reassigns only the keys of that choice.
 */
public final class RendezvousHash {
    private static final long MIX_MULTIPLIER_1 = 0xbf58476d1ce4e5b9L;
    private static final long MIX_MULTIPLIER_2 = 0x94d049bb133111ebL;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousHash() {}

    /** Returns the choice with the highest weight for a key. */
    public static <T> Optional<T> first(String key, Collection<T> choices) {
        return choices.stream().max(byWeight(key));
    }

    /** Returns up to the given number of choices with the highest weights for a key, the highest first. */
    public static <T> List<T> top(String key, Collection<T> choices, int maxCount) {
        return choices.stream().sorted(byWeight(key).reversed()).limit(maxCount).toList();
    }

    private static <T> Comparator<T> byWeight(String key) {
        return Comparator.comparingLong((T choice) -> weight(key, choice.toString()))
                .thenComparing(Object::toString);
    }

    /** Returns a well-mixed hash of two texts that is the same on every node and in every run. */
    public static long weight(String key, String choice) {
        long hash = fnv1a(fnv1a(FNV_OFFSET, key), "\n");
        return mix(fnv1a(hash, choice));
    }

    private static long fnv1a(long hash, String text) {
        long folded = hash;
        for (int i = 0; i < text.length(); i++) {
            folded = (folded ^ text.charAt(i)) * FNV_PRIME;
        }
        return folded;
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * MIX_MULTIPLIER_1;
        mixed = (mixed ^ (mixed >>> 27)) * MIX_MULTIPLIER_2;
        return mixed ^ (mixed >>> 31);
    }
}
