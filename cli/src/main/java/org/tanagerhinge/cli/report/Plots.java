package org.tanagerhinge.cli.report;

import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Font;
import java.awt.geom.Rectangle2D;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.IntToDoubleFunction;
import org.HdrHistogram.Histogram;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.CategoryPlot;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.category.BarRenderer;
import org.jfree.chart.renderer.category.StandardBarPainter;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.category.DefaultCategoryDataset;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.jfree.svg.SVGGraphics2D;

/** Draws what logs come to, each plot as SVG text. */
final class Plots {
    private static final int WIDTH = 920;
    private static final int HEIGHT = 260;
    /** Height of a bar with its label. */
    private static final int BAR = 26;
    /** Reasons of refusals that are drawn; the rarer ones would make the others unreadable. */
    private static final int MOST_REASONS = 12;

    private static final List<Color> COLOURS = List.of(
            new Color(0x2b7a3f), new Color(0xe08e0b), new Color(0xb3261e), new Color(0x6a4c93), new Color(0x6b7280));

    private Plots() {}

    static String outcomes(ReportData data) {
        XYSeriesCollection lines = new XYSeriesCollection();
        data.outcomes().forEach((outcome, timeline) -> lines.addSeries(series(outcome.label(), timeline)));
        return lines(lines, "requests a second");
    }

    static String firstEvents(ReportData data) {
        XYSeriesCollection lines = new XYSeriesCollection();
        for (int percentile : new int[] {50, 95}) {
            XYSeries series = new XYSeries(percentile + " in 100 within");
            for (Map.Entry<Integer, Histogram> second : data.firstEvents().entrySet()) {
                series.add(second.getKey().doubleValue(), second.getValue().getValueAtPercentile(percentile));
            }
            lines.addSeries(series);
        }
        return lines(lines, "ms");
    }

    static String reading(ReportData data) {
        return meanAndMost(data.readingByServer().values(), "tokens");
    }

    static String running(ReportData data) {
        return meanAndMost(data.runningByServer().values(), "requests");
    }

    static String listAge(ReportData data) {
        return meanAndMost(data.listAgeByNode().values(), "ms");
    }

    static String fetched(ReportData data) {
        XYSeriesCollection lines = new XYSeriesCollection();
        lines.addSeries(series("fetched", data.fetched()));
        return lines(lines, "tokens a second");
    }

    static String refusals(ReportData data) {
        DefaultCategoryDataset bars = new DefaultCategoryDataset();
        data.refusals().entrySet().stream()
                .sorted(Map.Entry.<String, Integer>comparingByValue(Comparator.reverseOrder()))
                .limit(MOST_REASONS)
                .forEach(reason -> bars.addValue(reason.getValue(), "refusals", reason.getKey()));
        JFreeChart chart = ChartFactory.createBarChart(
                null, null, "refusals", bars, PlotOrientation.HORIZONTAL, false, false, false);
        CategoryPlot plot = chart.getCategoryPlot();
        plot.setBackgroundPaint(Color.WHITE);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        plot.getDomainAxis().setMaximumCategoryLabelWidthRatio(0.5f);
        BarRenderer renderer = (BarRenderer) plot.getRenderer();
        renderer.setBarPainter(new StandardBarPainter());
        renderer.setShadowVisible(false);
        renderer.setSeriesPaint(0, COLOURS.get(2));
        return svg(chart, 70 + BAR * Math.max(1, bars.getColumnCount()));
    }

    /** Draws the mean of timelines in each second, and the largest. */
    private static String meanAndMost(Collection<Timeline> timelines, String unit) {
        int length = timelines.stream().mapToInt(Timeline::length).max().orElse(0);
        XYSeriesCollection lines = new XYSeriesCollection();
        lines.addSeries(series(
                "mean",
                length,
                second -> timelines.stream()
                        .mapToDouble(timeline -> timeline.at(second))
                        .average()
                        .orElse(0)));
        lines.addSeries(series(
                "most",
                length,
                second -> timelines.stream()
                        .mapToDouble(timeline -> timeline.at(second))
                        .max()
                        .orElse(0)));
        return lines(lines, unit);
    }

    private static XYSeries series(String name, Timeline timeline) {
        return series(name, timeline.length(), timeline::at);
    }

    private static XYSeries series(String name, int length, IntToDoubleFunction values) {
        XYSeries series = new XYSeries(name);
        for (int second = 0; second < length; second++) {
            series.add(second, values.applyAsDouble(second));
        }
        return series;
    }

    private static String lines(XYSeriesCollection lines, String unit) {
        JFreeChart chart = ChartFactory.createXYLineChart(
                null, "second", unit, lines, PlotOrientation.VERTICAL, true, false, false);
        XYPlot plot = chart.getXYPlot();
        plot.setBackgroundPaint(Color.WHITE);
        plot.setDomainGridlinePaint(Color.LIGHT_GRAY);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer(true, false);
        for (int i = 0; i < lines.getSeriesCount(); i++) {
            renderer.setSeriesPaint(i, COLOURS.get(i % COLOURS.size()));
            renderer.setSeriesStroke(i, new BasicStroke(1.6f));
        }
        plot.setRenderer(renderer);
        return svg(chart, HEIGHT);
    }

    private static String svg(JFreeChart chart, int height) {
        chart.setBackgroundPaint(Color.WHITE);
        if (chart.getLegend() != null) {
            chart.getLegend().setItemFont(new Font(Font.SANS_SERIF, Font.PLAIN, 12));
            chart.getLegend().setFrame(org.jfree.chart.block.BlockBorder.NONE);
        }
        SVGGraphics2D canvas = new SVGGraphics2D(WIDTH, height);
        chart.draw(canvas, new Rectangle2D.Double(0, 0, WIDTH, height));
        return canvas.getSVGElement();
    }
}
