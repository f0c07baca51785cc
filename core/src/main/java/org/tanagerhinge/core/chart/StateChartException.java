package org.tanagerhinge.core.chart;

/** Thrown at start when a chart file is missing or wrong; names the chart and what is wrong with it. */
public final class StateChartException extends IllegalStateException {
    StateChartException(String chart, String problem) {
        super("state chart " + chart + ": " + problem);
    }

    StateChartException(String chart, Throwable cause) {
        super("state chart " + chart + ": " + cause.getMessage(), cause);
    }
}
