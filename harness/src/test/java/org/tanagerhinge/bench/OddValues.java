package org.tanagerhinge.bench;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.StringJoiner;

/** Generates JSON documents as a writer may leave them that follows none of the rules for their fields. */
public final class OddValues {
    private static final int[] DEPTHS = {2, 62, 63, 64, 65, 500, 998, 999, 1_000, 1_001, 5_000, 20_000};

    private OddValues() {}

    /** Returns texts that stand in place of a value; some are no JSON. */
    public static List<String> values() {
        List<String> values = new ArrayList<>(List.of(
                "0",
                "-0",
                "-1",
                "1.5",
                "-0.5",
                "1e0",
                "1e999999999",
                "-1e999999999",
                "1e-999999999",
                "1E+2147483648",
                "1e99999999999999999999",
                "2147483647",
                "2147483648",
                "99999999999",
                "9007199254740993",
                "9223372036854775807",
                "9223372036854775808",
                "-9223372036854775808",
                "-9223372036854775809",
                "NaN",
                "Infinity",
                "-Infinity",
                "+1",
                "01",
                "0x10",
                "1.",
                ".5",
                "-",
                "null",
                "true",
                "\"\"",
                "\" \"",
                "\"x\"",
                "\"1e999999999\"",
                "\"\\u0000\"",
                "\"a\\r\\nb: c\"",
                "\"\\ud800\"",
                "\"\\udc00\\ud800\"",
                "\"\u00e5\ud83d\ude00\"",
                "\"\\",
                "\"open",
                "[]",
                "{}",
                "[[]]",
                "{\"a\":{}}",
                "[null,1,\"x\"]",
                ""));
        for (int digits : new int[] {19, 20, 308, 309, 999, 1_000, 1_001, 40_000}) {
            values.add("9".repeat(digits));
            values.add("-" + "9".repeat(digits));
            values.add("0." + "9".repeat(digits));
            values.add("1" + "0".repeat(digits) + "e" + digits);
        }
        for (int length : new int[] {201, 5_000, 40_000}) {
            values.add("\"" + "a".repeat(length) + "\"");
            values.add("{\"" + "a".repeat(length) + "\":1}");
            values.add("[" + "[],".repeat(length / 4) + "[]]");
            values.add("[" + "{},".repeat(length / 4) + "{}]");
        }
        for (int depth : DEPTHS) {
            values.add("[".repeat(depth));
            values.add("[".repeat(depth) + "]".repeat(depth));
            values.add("{\"a\":".repeat(depth) + "1" + "}".repeat(depth));
            values.add("[{\"a\":".repeat(depth / 2) + "1" + "}]".repeat(depth / 2));
        }
        return values;
    }

    /** Returns texts that stand in place of an IP address with a port. */
    public static List<String> addresses() {
        List<String> addresses = new ArrayList<>();
        for (String port : List.of(
                "",
                "0",
                "-1",
                "+80",
                " 80",
                "80 ",
                "080",
                "65536",
                "70000",
                "99999",
                "2147483648",
                "99999999999",
                "4294967376",
                "1e3",
                "0x50",
                "\u0668\u0660",
                "9".repeat(10_000))) {
            addresses.add("127.0.0.1:" + port);
        }
        for (String host : List.of(
                "",
                "256.1.1.1",
                "1.2.3.4.5",
                "...",
                "dead",
                "dead.beef",
                "a.b",
                "127.0.0.1:1",
                "[::1",
                "::1]",
                ":",
                "::1%lo",
                "fe80::1%1",
                "1".repeat(10_000),
                "127.0.0.1\u0000",
                "127.0.0.1 ")) {
            addresses.add(host + ":80");
        }
        return addresses;
    }

    /** Returns variants of a valid JSON object: odd values in each field, and oddities around the object. */
    public static List<byte[]> variants(Map<String, String> fields, List<String> addressFields, long seed) {
        List<byte[]> variants = new ArrayList<>();
        for (String name : fields.keySet()) {
            List<String> values = new ArrayList<>(values());
            if (addressFields.contains(name)) {
                addresses().forEach(address -> values.add("\"" + address + "\""));
            }
            for (String value : values) {
                Map<String, String> changed = new LinkedHashMap<>(fields);
                changed.put(name, value);
                variants.add(utf8(object(changed)));
            }
        }
        String valid = object(fields);
        for (String value : values()) {
            variants.add(utf8(value));
            variants.add(utf8(valid.substring(0, valid.length() - 1) + ",\"more\":" + value + "}"));
            variants.add(utf8(valid + value));
        }
        for (int depth : DEPTHS) {
            variants.add(utf8("[".repeat(depth) + valid + "]".repeat(depth)));
            variants.add(utf8("{\"a\":".repeat(depth) + valid + "}".repeat(depth)));
        }
        for (Map.Entry<String, String> field : fields.entrySet()) {
            String again = ",\"" + field.getKey() + "\":";
            String open = valid.substring(0, valid.length() - 1);
            variants.add(utf8(open + again + field.getValue() + "}"));
            variants.add(utf8(open + again + "{}}"));
        }
        for (int length = 0; length < valid.length(); length += 7) {
            variants.add(utf8(valid.substring(0, length)));
        }
        variants.add(utf8("\ufeff" + valid));
        variants.add(valid.getBytes(StandardCharsets.UTF_16));
        variants.add(valid.getBytes(StandardCharsets.UTF_16LE));
        variants.addAll(damaged(utf8(valid), seed));
        return variants;
    }

    private static List<byte[]> damaged(byte[] valid, long seed) {
        Random random = new Random(seed);
        List<byte[]> damaged = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            int at = random.nextInt(valid.length);
            byte[] inserted = new byte[1 + random.nextInt(4)];
            random.nextBytes(inserted);
            bytes.writeBytes(Arrays.copyOf(valid, at));
            bytes.writeBytes(inserted);
            bytes.write(valid, at, valid.length - at);
            damaged.add(bytes.toByteArray());
        }
        return damaged;
    }

    /** Returns a JSON object with values that are JSON texts already. */
    public static String object(Map<String, String> fields) {
        StringJoiner object = new StringJoiner(",", "{", "}");
        fields.forEach((name, value) -> object.add("\"" + name + "\":" + value));
        return object.toString();
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
