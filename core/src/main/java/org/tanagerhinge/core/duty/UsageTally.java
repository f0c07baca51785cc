package org.tanagerhinge.core.duty;

import java.util.List;
import org.tanagerhinge.core.store.StoreEra;

/**
 * Holds what a holder saves for its successor.
 *
 * @param reports reports of all nodes on uncommitted windows
 * @param committedThrough newest window that is committed or must not be committed any more, 0 if there is none
 * @param era latest era of the store of which the holder knows all commits, {@link StoreEra#UNKNOWN} if unknown; less
 *     than the current one if the store was restored since
 */
public record UsageTally(List<UsageReport> reports, long committedThrough, long era) {
    /** The tally of a holder that has received nothing. */
    public static final UsageTally EMPTY = new UsageTally(List.of(), 0, StoreEra.UNKNOWN);
}
