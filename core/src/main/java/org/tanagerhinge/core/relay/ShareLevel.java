package org.tanagerhinge.core.relay;

import java.util.Collection;

/** Computes max-min fair shares: what one workspace leaves unused goes to the others. */
final class ShareLevel {
    /** Halvings of the interval that contains the level; leaves an error below a millionth of the largest demand. */
    private static final int BISECTION_STEPS = 24;

    private ShareLevel() {}

    /**
     * Returns the level L at which the sum over workspaces of min(demand, L), but at least a minimum fraction of the
     * demand, equals the capacity; infinite if the capacity suffices for all demands.
     */
    static double of(Collection<WorkRate> workspaces, double capacity, double minFraction) {
        double total = 0;
        double largest = 0;
        for (WorkRate workspace : workspaces) {
            total += workspace.asked();
            largest = Math.max(largest, workspace.asked());
        }
        return total <= capacity ? Double.POSITIVE_INFINITY : bisect(workspaces, capacity, minFraction, largest);
    }

    private static double bisect(Collection<WorkRate> workspaces, double capacity, double minFraction, double largest) {
        double low = 0;
        double high = largest;
        for (int i = 0; i < BISECTION_STEPS; i++) {
            double middle = (low + high) / 2;
            if (allocated(workspaces, middle, minFraction) < capacity) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return high;
    }

    private static double allocated(Collection<WorkRate> workspaces, double level, double minFraction) {
        double sum = 0;
        for (WorkRate workspace : workspaces) {
            sum += Math.max(Math.min(workspace.asked(), level), minFraction * workspace.asked());
        }
        return sum;
    }
}
