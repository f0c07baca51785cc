package org.tanagerhinge.bench.fleet;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import org.tanagerhinge.core.relay.WorkspaceConfig;

/** Draws the workspace and the patience of simulated callers from a random generator of its own. */
final class CallerModel {
    private final Callers callers;
    private final SplittableRandom random;
    private final double[] usualWeights;
    private final double totalWeight;

    CallerModel(Callers callers, SplittableRandom random) {
        this.callers = callers;
        this.random = random;
        this.usualWeights = new double[callers.workspaces()];
        double sum = 0;
        for (int i = 0; i < usualWeights.length; i++) {
            usualWeights[i] = Math.pow(i + 1, -callers.zipfExponent());
            sum += usualWeights[i];
        }
        this.totalWeight = sum;
    }

    /** Returns the workspaces by key. */
    Map<String, WorkspaceConfig> workspaces() {
        Map<String, WorkspaceConfig> workspaces = new LinkedHashMap<>();
        for (int i = 0; i < callers.workspaces(); i++) {
            String name = Callers.workspaceName(i);
            workspaces.put(name, new WorkspaceConfig(name, OptionalInt.empty()));
        }
        return workspaces;
    }

    /** Returns the request rate of all workspaces as a multiple of the usual rate. */
    double rateFactor(double nowMillis) {
        return callers.workspaces() == 0 ? 1 : 1 + extraWeight(nowMillis) / totalWeight;
    }

    /** Returns the key of the workspace that sends the next request. */
    String drawKey(double nowMillis) {
        double extraWeight = extraWeight(nowMillis);
        double point = random.nextDouble() * (totalWeight + extraWeight);
        if (point >= totalWeight) {
            return Callers.workspaceName(callers.hotWorkspace().orElseThrow().index());
        }
        int index = 0;
        while (index < usualWeights.length - 1 && point >= usualWeights[index]) {
            point -= usualWeights[index++];
        }
        return Callers.workspaceName(index);
    }

    boolean drawImpatient() {
        return callers.impatientShare() > 0 && random.nextDouble() < callers.impatientShare();
    }

    private double extraWeight(double nowMillis) {
        return callers.hotWorkspace()
                .filter(hot -> nowMillis >= hot.fromSeconds() * 1000 && nowMillis < hot.toSeconds() * 1000)
                .map(hot -> (hot.factor() - 1) * usualWeights[hot.index()])
                .orElse(0.0);
    }
}
