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

/** Renders the plots of a report as SVG text. */
final class ReportPlots {
    private static final int WIDTH = 920;
    private static final int HEIGHT = 260;
    private static final int BAR_HEIGHT = 26;
    /** Maximum number of refusal reasons in the bar chart; the most frequent ones are drawn. */
    private static final int MAX_REASONS = 12;

    private static final List<Color> SERIES_COLOURS = List.of(
            new Color(0x2b7a3f), new Color(0xe08e0b), new Color(0xb3261e), new Color(0x6a4c93), new Color(0x6b7280));

    private ReportPlots() {}

    static String outcomes(ReportData data) {
        XYSeriesCollection dataset = new XYSeriesCollection();
        data.outcomes().forEach((outcome, timeline) -> dataset.addSeries(series(outcome.label(), timeline)));
        return lineChart(dataset, "requests per second");
    }

    static String firstEvents(ReportData data) {
        XYSeriesCollection dataset = new XYSeriesCollection();
        for (int percentile : new int[] {50, 95}) {
            XYSeries series = new XYSeries(percentile + "th percentile");
            for (Map.Entry<Integer, Histogram> second : data.firstEvents().entrySet()) {
                series.add(second.getKey().doubleValue(), second.getValue().getValueAtPercentile(percentile));
            }
            dataset.addSeries(series);
        }
        return lineChart(dataset, "ms");
    }

    static String tokensToPrefill(ReportData data) {
        return meanAndMaximum(data.tokensToPrefillByServer().values(), "tokens");
    }

    static String inFlight(ReportData data) {
        return meanAndMaximum(data.inFlightByServer().values(), "requests");
    }

    static String serverListAge(ReportData data) {
        return meanAndMaximum(data.serverListAgeByNode().values(), "ms");
    }

    static String fetchedTokens(ReportData data) {
        XYSeriesCollection dataset = new XYSeriesCollection();
        dataset.addSeries(series("fetched", data.fetchedTokens()));
        return lineChart(dataset, "tokens per second");
    }

    static String refusals(ReportData data) {
        DefaultCategoryDataset dataset = new DefaultCategoryDataset();
        data.refusals().entrySet().stream()
                .sorted(Map.Entry.<String, Integer>comparingByValue(Comparator.reverseOrder()))
                .limit(MAX_REASONS)
                .forEach(reason -> dataset.addValue(reason.getValue(), "refusals", reason.getKey()));
        JFreeChart chart = ChartFactory.createBarChart(
                null, null, "refusals", dataset, PlotOrientation.HORIZONTAL, false, false, false);
        CategoryPlot plot = chart.getCategoryPlot();
        plot.setBackgroundPaint(Color.WHITE);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        plot.getDomainAxis().setMaximumCategoryLabelWidthRatio(0.5f);
        BarRenderer renderer = (BarRenderer) plot.getRenderer();
        renderer.setBarPainter(new StandardBarPainter());
        renderer.setShadowVisible(false);
        renderer.setSeriesPaint(0, SERIES_COLOURS.get(2));
        return renderSvg(chart, 70 + BAR_HEIGHT * Math.max(1, dataset.getColumnCount()));
    }

    /** Draws the mean and the maximum of the timelines in each second. */
    private static String meanAndMaximum(Collection<Timeline> timelines, String unit) {
        int length = timelines.stream().mapToInt(Timeline::length).max().orElse(0);
        XYSeriesCollection dataset = new XYSeriesCollection();
        dataset.addSeries(series(
                "mean",
                length,
                second -> timelines.stream()
                        .mapToDouble(timeline -> timeline.valueAt(second))
                        .average()
                        .orElse(0)));
        dataset.addSeries(series(
                "most",
                length,
                second -> timelines.stream()
                        .mapToDouble(timeline -> timeline.valueAt(second))
                        .max()
                        .orElse(0)));
        return lineChart(dataset, unit);
    }

    private static XYSeries series(String name, Timeline timeline) {
        return series(name, timeline.length(), timeline::valueAt);
    }

    private static XYSeries series(String name, int length, IntToDoubleFunction values) {
        XYSeries series = new XYSeries(name);
        for (int second = 0; second < length; second++) {
            series.add(second, values.applyAsDouble(second));
        }
        return series;
    }

    private static String lineChart(XYSeriesCollection dataset, String unit) {
        JFreeChart chart = ChartFactory.createXYLineChart(
                null, "second", unit, dataset, PlotOrientation.VERTICAL, true, false, false);
        XYPlot plot = chart.getXYPlot();
        plot.setBackgroundPaint(Color.WHITE);
        plot.setDomainGridlinePaint(Color.LIGHT_GRAY);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer(true, false);
        for (int i = 0; i < dataset.getSeriesCount(); i++) {
            renderer.setSeriesPaint(i, SERIES_COLOURS.get(i % SERIES_COLOURS.size()));
            renderer.setSeriesStroke(i, new BasicStroke(1.6f));
        }
        plot.setRenderer(renderer);
        return renderSvg(chart, HEIGHT);
    }

    private static String renderSvg(JFreeChart chart, int height) {
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
