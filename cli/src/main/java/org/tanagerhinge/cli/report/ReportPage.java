package org.tanagerhinge.cli.report;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.tanagerhinge.cli.trace.LogFile;

/** Renders a self-contained HTML report with plots and a table of events. */
public final class ReportPage {
    /** Maximum number of rows in the event table; a starting fleet logs far more events. */
    private static final int MAX_EVENT_ROWS = 400;

    private static final String STYLE = "body{font:15px/1.45 system-ui,sans-serif;max-width:960px;margin:2em auto;"
            + "padding:0 1em;color:#1f2933}h1{font-size:1.5em}h2{font-size:1.1em;margin:1.8em 0 .3em}"
            + "table{border-collapse:collapse;font-size:.9em}td,th{padding:.15em .8em .15em 0;text-align:left;"
            + "border-bottom:1px solid #e5e7eb;vertical-align:top}p{margin:.3em 0;color:#52606d}svg{max-width:100%}";

    private ReportPage() {}

    /** Returns the report of the logs as HTML; empty if no line has an event. */
    public static Optional<String> of(String title, List<LogFile> logs) {
        return ReportData.of(logs).map(data -> render(title, data));
    }

    private static String render(String title, ReportData data) {
        StringBuilder html = new StringBuilder("<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">");
        html.append("<title>")
                .append(escapeHtml(title))
                .append("</title><style>")
                .append(STYLE);
        html.append("</style></head><body>\n<h1>").append(escapeHtml(title)).append("</h1>\n<p>");
        html.append(data.lineCount()).append(" lines; seconds count from the first line.");
        if (data.excludedLineCount() > 0) {
            html.append(' ')
                    .append(data.excludedLineCount())
                    .append(" lines are excluded because their time is far from that of the others.");
        }
        html.append("</p>\n").append(outcomeTotals(data));
        appendSection(
                html,
                "How requests ended",
                "By the second of the last line of the request.",
                ReportPlots.outcomes(data));
        appendSection(
                html,
                "Time to first event",
                "Percentiles over the streams that ended in each second.",
                ReportPlots.firstEvents(data));
        appendSection(
                html,
                "Prompt tokens to prefill",
                "Per server, as known to the sending hosts: mean and maximum over all servers.",
                ReportPlots.tokensToPrefill(data));
        appendSection(
                html,
                "Requests in flight at servers",
                "Per server, as known to the sending hosts.",
                ReportPlots.inFlight(data));
        appendSection(
                html,
                "Prefix cache transfers",
                "Prompt tokens fetched from another server.",
                ReportPlots.fetchedTokens(data));
        appendSection(html, "Refusals by reason", "Numbers in reasons are replaced by N.", ReportPlots.refusals(data));
        appendSection(
                html,
                "Age of the server list",
                "When hosts routed requests: mean and maximum over all hosts.",
                ReportPlots.serverListAge(data));
        appendFleetEvents(html, data);
        return html.append("</body></html>\n").toString();
    }

    private static String outcomeTotals(ReportData data) {
        StringBuilder html = new StringBuilder("<table><tr>");
        data.outcomes()
                .keySet()
                .forEach(outcome ->
                        html.append("<th>").append(escapeHtml(outcome.label())).append("</th>"));
        html.append("</tr><tr>");
        data.outcomes().values().forEach(timeline -> {
            double sum = 0;
            for (int second = 0; second < timeline.length(); second++) {
                sum += timeline.valueAt(second);
            }
            html.append(String.format(Locale.ROOT, "<td>%.0f</td>", sum));
        });
        return html.append("</tr></table>\n").toString();
    }

    private static void appendSection(StringBuilder html, String title, String caption, String plot) {
        html.append("<h2>")
                .append(escapeHtml(title))
                .append("</h2>\n<p>")
                .append(escapeHtml(caption))
                .append("</p>\n");
        html.append(plot).append('\n');
    }

    private static void appendFleetEvents(StringBuilder html, ReportData data) {
        List<ReportData.FleetEvent> events = data.fleetEvents();
        html.append("<h2>Events</h2>\n<table><tr><th>second</th><th>event</th><th>hosts</th></tr>\n");
        events.stream()
                .limit(MAX_EVENT_ROWS)
                .forEach(row -> html.append("<tr><td>")
                        .append(row.second())
                        .append("</td><td>")
                        .append(escapeHtml(row.description()))
                        .append("</td><td>")
                        .append(row.hostCount())
                        .append("</td></tr>\n"));
        html.append("</table>\n");
        if (events.size() > MAX_EVENT_ROWS) {
            html.append("<p>").append(events.size() - MAX_EVENT_ROWS).append(" more rows are omitted.</p>\n");
        }
    }

    private static String escapeHtml(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
