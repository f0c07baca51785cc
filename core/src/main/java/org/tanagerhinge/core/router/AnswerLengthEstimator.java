package org.tanagerhinge.core.router;

import java.util.LinkedHashMap;
import java.util.Map;
import org.tanagerhinge.core.id.ProfileName;
import org.tanagerhinge.core.id.WorkspaceId;

/**
 * Estimates the length of an answer from earlier answers of the same profile and workspace.
 *
 * <p>Answer lengths are heavy-tailed, so the estimate is a moving geometric mean, which is close to the median. A
 * workspace with too few answers gets the estimate of its profile.
 */
final class AnswerLengthEstimator {
    private static final long INITIAL_LENGTH_UNITS = 128;
    private static final int MIN_WORKSPACE_SAMPLES = 16;
    private static final double SMOOTHING_FACTOR = 0.05;
    private static final int MAX_ENTRIES = 20_000;

    private record EstimateKey(ProfileName profile, String workspace) {}

    private static final class LogMean {
        private int count;
        private double meanLog;

        void addSample(long units) {
            double log = Math.log(Math.max(1, units));
            count++;
            meanLog += (log - meanLog) * Math.max(SMOOTHING_FACTOR, 1.0 / count);
        }

        long expectedUnits() {
            return Math.round(Math.exp(meanLog));
        }
    }

    private final Map<EstimateKey, LogMean> means = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<EstimateKey, LogMean> eldest) {
            return size() > MAX_ENTRIES;
        }
    };

    long expectedUnits(ProfileName profile, WorkspaceId workspace) {
        LogMean workspaceMean = means.get(new EstimateKey(profile, workspace.value()));
        if (workspaceMean != null && workspaceMean.count >= MIN_WORKSPACE_SAMPLES) {
            return workspaceMean.expectedUnits();
        }
        LogMean profileMean = means.get(new EstimateKey(profile, ""));
        return profileMean == null ? INITIAL_LENGTH_UNITS : profileMean.expectedUnits();
    }

    void addSample(ProfileName profile, WorkspaceId workspace, long units) {
        mean(profile, workspace.value()).addSample(units);
        mean(profile, "").addSample(units);
    }

    private LogMean mean(ProfileName profile, String workspace) {
        return means.computeIfAbsent(new EstimateKey(profile, workspace), _ -> new LogMean());
    }
}
