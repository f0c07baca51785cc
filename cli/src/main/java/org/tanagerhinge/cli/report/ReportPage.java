package org.tanagerhinge.cli.report;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.tanagerhinge.cli.trace.LogFile;

/** A page of HTML that needs nothing beside it: plots, and a table of what happened when. */
public final class ReportPage {
    /** Rows of the table at the most: a fleet that starts tells more than anybody reads. */
    private static final int MOST_ROWS = 400;

    private static final String STYLE = "body{font:15px/1.45 system-ui,sans-serif;max-width:960px;margin:2em auto;"
            + "padding:0 1em;color:#1f2933}h1{font-size:1.5em}h2{font-size:1.1em;margin:1.8em 0 .3em}"
            + "table{border-collapse:collapse;font-size:.9em}td,th{padding:.15em .8em .15em 0;text-align:left;"
            + "border-bottom:1px solid #e5e7eb;vertical-align:top}p{margin:.3em 0;color:#52606d}svg{max-width:100%}";

    private ReportPage() {}

    /** Returns the page of some logs; nothing if no line of theirs tells of an event. */
    public static Optional<String> of(String title, List<LogFile> files) {
        return ReportData.of(files).map(data -> page(title, data));
    }

    private static String page(String title, ReportData data) {
        StringBuilder html = new StringBuilder("<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">");
        html.append("<title>").append(escaped(title)).append("</title><style>").append(STYLE);
        html.append("</style></head><body>\n<h1>").append(escaped(title)).append("</h1>\n<p>");
        html.append(data.lines()).append(" lines; seconds count from the first of them.");
        if (data.leftOut() > 0) {
            html.append(' ').append(data.leftOut()).append(" lines of clocks that are far off are left out.");
        }
        html.append("</p>\n").append(totals(data));
        section(html, "How requests ended", "By the second of their last line.", Plots.outcomes(data));
        section(
                html,
                "First events",
                "Streams that ended in each second, by the time to their first event.",
                Plots.firstEvents(data));
        section(
                html,
                "Prompts to be read",
                "As hosts believed when they sent there: the mean server and the one with most.",
                Plots.reading(data));
        section(html, "Requests at servers", "As hosts believed when they sent there.", Plots.running(data));
        section(html, "Fetched in place of read", "Prompt tokens taken from another server.", Plots.fetched(data));
        section(html, "Refusals by reason", "Numbers within reasons are shown as N.", Plots.refusals(data));
        section(
                html,
                "Age of the list of servers",
                "On which hosts decided: the mean host and the one with the oldest.",
                Plots.listAge(data));
        happenings(html, data);
        return html.append("</body></html>\n").toString();
    }

    private static String totals(ReportData data) {
        StringBuilder html = new StringBuilder("<table><tr>");
        data.outcomes()
                .keySet()
                .forEach(outcome ->
                        html.append("<th>").append(escaped(outcome.label())).append("</th>"));
        html.append("</tr><tr>");
        data.outcomes().values().forEach(timeline -> {
            double sum = 0;
            for (int second = 0; second < timeline.length(); second++) {
                sum += timeline.at(second);
            }
            html.append(String.format(Locale.ROOT, "<td>%.0f</td>", sum));
        });
        return html.append("</tr></table>\n").toString();
    }

    private static void section(StringBuilder html, String title, String text, String plot) {
        html.append("<h2>")
                .append(escaped(title))
                .append("</h2>\n<p>")
                .append(escaped(text))
                .append("</p>\n");
        html.append(plot).append('\n');
    }

    private static void happenings(StringBuilder html, ReportData data) {
        List<ReportData.Happening> all = data.happenings();
        html.append("<h2>What happened when</h2>\n<table><tr><th>second</th><th>what</th><th>hosts</th></tr>\n");
        all.stream()
                .limit(MOST_ROWS)
                .forEach(row -> html.append("<tr><td>")
                        .append(row.second())
                        .append("</td><td>")
                        .append(escaped(row.what()))
                        .append("</td><td>")
                        .append(row.hosts())
                        .append("</td></tr>\n"));
        html.append("</table>\n");
        if (all.size() > MOST_ROWS) {
            html.append("<p>").append(all.size() - MOST_ROWS).append(" more rows are left out.</p>\n");
        }
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
