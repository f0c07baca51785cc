package org.tanagerhinge.cli;

import java.util.ArrayList;
import java.util.List;

/** Formats rows as a text table with aligned columns. */
final class Table {
    private static final String COLUMN_GAP = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    static Table of(String... headings) {
        Table table = new Table();
        table.rows.add(List.of(headings));
        return table;
    }

    void addRow(Object... cells) {
        List<String> row = new ArrayList<>();
        for (Object cell : cells) {
            row.add(String.valueOf(cell));
        }
        rows.add(row);
    }

    @Override
    public String toString() {
        int columns = rows.get(0).size();
        int[] widths = new int[columns];
        for (List<String> row : rows) {
            for (int i = 0; i < columns; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        StringBuilder out = new StringBuilder();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < columns; i++) {
                line.append(row.get(i));
                line.append(" ".repeat(widths[i] - row.get(i).length())).append(COLUMN_GAP);
            }
            out.append(line.toString().stripTrailing()).append('\n');
        }
        return out.toString();
    }
}
