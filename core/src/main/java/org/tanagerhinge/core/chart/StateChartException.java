package org.tanagerhinge.core.chart;

/** Thrown at startup when a chart file is missing or invalid; the message names the chart and the problem. */
public final class StateChartException extends IllegalStateException {
    StateChartException(String chart, String problem) {
        super("state chart " + chart + ": " + problem);
    }

    StateChartException(String chart, Throwable cause) {
        super("state chart " + chart + ": " + cause.getMessage(), cause);
    }
}
