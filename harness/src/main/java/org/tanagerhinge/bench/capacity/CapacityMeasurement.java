package org.tanagerhinge.bench.capacity;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Locale;
import java.util.function.DoubleSupplier;
import org.tanagerhinge.core.result.TanagerhingeException;

/**
 * Measures what a node costs against the size of the system: control traffic, processor time and heap.
 *
 * <p>Each figure is the median of several repeats with their least and greatest. Sizes beyond one machine are measured
 * on the real decision code and codec with the messages of that many peers fed in, not on that many processes.
 */
public final class CapacityMeasurement {
    private static final int REPEATS = 5;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final ArrayNode jsonRows = JSON.createArrayNode();

    private CapacityMeasurement() {}

    /** Measures and prints all slopes, and writes them to a file if one is named. */
    public static int run(String jsonFile) throws TanagerhingeException, IOException {
        CapacityMeasurement capacity = new CapacityMeasurement();
        ControlTrafficCost.measure(capacity);
        DecisionCost.measure(capacity);
        StreamCost.measure(capacity);
        ConfigPropagationCost.measure(capacity);
        if (jsonFile != null) {
            Files.writeString(Path.of(jsonFile), capacity.jsonRows.toPrettyString());
        }
        return 0;
    }

    /** Repeats a measurement and notes its median and spread. */
    void measureAndRecord(String label, long size, String unit, DoubleSupplier measurement) {
        double[] values = new double[REPEATS + 1];
        for (int i = 0; i < values.length; i++) {
            values[i] = measurement.getAsDouble();
        }
        // The first pays for compiling the code.
        record(label, size, unit, Arrays.copyOfRange(values, 1, values.length));
    }

    /** Notes values that were measured elsewhere. */
    void record(String label, long size, String unit, double... values) {
        Arrays.sort(values);
        double median = values[values.length / 2];
        System.out.println(String.format(
                Locale.ROOT,
                "%-62s %6d  %10.3f %-14s (%.3f to %.3f)",
                label,
                size,
                median,
                unit,
                values[0],
                values[values.length - 1]));
        jsonRows.addObject()
                .put("what", label)
                .put("size", size)
                .put("unit", unit)
                .put("median", median)
                .put("least", values[0])
                .put("most", values[values.length - 1]);
    }
}
