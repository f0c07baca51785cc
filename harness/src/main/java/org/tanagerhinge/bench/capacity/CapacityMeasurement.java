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
 * Measures control traffic, CPU time and heap of a node as a function of the size of the system.
 *
 * <p>Each result is the median of several repeats, with minimum and maximum. Sizes beyond one machine are measured
 * with the real decision code and codec, which receive the messages of that many peers in one process.
 */
public final class CapacityMeasurement {
    private static final int REPEATS = 5;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final ArrayNode jsonRows = JSON.createArrayNode();

    private CapacityMeasurement() {}

    /** Runs and prints all measurements, and writes them to a file unless {@code jsonFile} is null. */
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

    /** Repeats a measurement and records its median and range. */
    void measureAndRecord(String label, long size, String unit, DoubleSupplier measurement) {
        double[] values = new double[REPEATS + 1];
        for (int i = 0; i < values.length; i++) {
            values[i] = measurement.getAsDouble();
        }
        // The first value includes the time to compile the code.
        record(label, size, unit, Arrays.copyOfRange(values, 1, values.length));
    }

    /** Records and prints the median and range of measured values. */
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
