package org.tanagerhinge.core.relay;

import java.util.HashMap;
import java.util.Map;

/** Measures the mean response time of each route, from which the work of requests at plain servers is computed. */
public final class ResponseTimes {
    /** Weight of the newest response in the mean. */
    private static final double SMOOTHING = 0.02;
    /** Mean assumed before the first response, in milliseconds; equal for all routes, so that requests are counted. */
    private static final double INITIAL_MILLIS = 100;

    private final Map<String, Double> meanMillisByRoute = new HashMap<>();

    private ResponseTimes() {}

    /** Creates response times without a measurement. */
    public static ResponseTimes create() {
        return new ResponseTimes();
    }

    /** Records a response. */
    public void record(Route route, long millis) {
        meanMillisByRoute.merge(route.name(), (double) millis, (mean, latest) -> mean + SMOOTHING * (latest - mean));
    }

    /** Returns the mean response time of a route, in milliseconds. */
    double meanMillis(Route route) {
        return meanMillisByRoute.getOrDefault(route.name(), INITIAL_MILLIS);
    }
}
