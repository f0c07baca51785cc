package org.tanagerhinge.cli.report;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.tanagerhinge.cli.trace.LogFile;

/** A page of HTML that needs nothing beside it: plots, and a table of what happened when. */
public final class ReportPage {
    /** Rows of the table at the most: a fleet that starts tells more than anybody reads. */
    private static final int MAX_EVENT_ROWS = 400;

    private static final String STYLE = "body{font:15px/1.45 system-ui,sans-serif;max-width:960px;margin:2em auto;"
            + "padding:0 1em;color:#1f2933}h1{font-size:1.5em}h2{font-size:1.1em;margin:1.8em 0 .3em}"
            + "table{border-collapse:collapse;font-size:.9em}td,th{padding:.15em .8em .15em 0;text-align:left;"
            + "border-bottom:1px solid #e5e7eb;vertical-align:top}p{margin:.3em 0;color:#52606d}svg{max-width:100%}";

    private ReportPage() {}

    /** Returns the page of some logs; nothing if no line of theirs tells of an event. */
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
        html.append(data.lineCount()).append(" lines; seconds count from the first of them.");
        if (data.excludedLineCount() > 0) {
            html.append(' ').append(data.excludedLineCount()).append(" lines of clocks that are far off are left out.");
        }
        html.append("</p>\n").append(outcomeTotals(data));
        appendSection(html, "How requests ended", "By the second of their last line.", ReportPlots.outcomes(data));
        appendSection(
                html,
                "First events",
                "Streams that ended in each second, by the time to their first event.",
                ReportPlots.firstEvents(data));
        appendSection(
                html,
                "Prompts to be read",
                "As hosts believed when they sent there: the mean server and the one with most.",
                ReportPlots.tokensToPrefill(data));
        appendSection(
                html, "Requests at servers", "As hosts believed when they sent there.", ReportPlots.inFlight(data));
        appendSection(
                html,
                "Fetched in place of read",
                "Prompt tokens taken from another server.",
                ReportPlots.fetchedTokens(data));
        appendSection(html, "Refusals by reason", "Numbers within reasons are shown as N.", ReportPlots.refusals(data));
        appendSection(
                html,
                "Age of the list of servers",
                "On which hosts decided: the mean host and the one with the oldest.",
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
        html.append("<h2>What happened when</h2>\n<table><tr><th>second</th><th>what</th><th>hosts</th></tr>\n");
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
            html.append("<p>").append(events.size() - MAX_EVENT_ROWS).append(" more rows are left out.</p>\n");
        }
    }

    private static String escapeHtml(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
