package org.tanagerhinge.bench.fleet;

import java.util.Optional;

/**
 * Describes the workspaces of simulated callers and how callers repeat rejected requests.
 *
 * @param workspaces number of workspaces; 0 if callers have no keys
 * @param zipfExponent exponent of the Zipf distribution of the requests over the workspaces
 * @param hotWorkspace a workspace that sends more than usual in a period
 * @param impatientShare share of the callers who repeat a rejected request at once and often, and don't wait as told
 * @param repeatMillis time after which such a caller repeats
 * @param maxRepeats how often such a caller repeats a request
 */
public record Callers(
        int workspaces,
        double zipfExponent,
        Optional<HotWorkspace> hotWorkspace,
        double impatientShare,
        double repeatMillis,
        int maxRepeats) {
    /** Callers without keys who wait as told. */
    public static final Callers ANONYMOUS = new Callers(0, 0, Optional.empty(), 0, 0, 0);

    /**
     * Describes a period in which one workspace sends more than usual.
     *
     * @param index position of the workspace by usual size, 0 for the largest
     * @param factor multiple of its usual rate
     * @param fromSeconds start in seconds of simulated time, as {@code toSeconds} is the end
     */
    public record HotWorkspace(int index, double factor, double fromSeconds, double toSeconds) {}

    /** Returns the name and key of a workspace. */
    static String workspaceName(int index) {
        return "w" + index;
    }
}
