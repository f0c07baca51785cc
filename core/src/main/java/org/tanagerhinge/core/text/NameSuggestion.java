package org.tanagerhinge.core.text;

import java.util.Collection;
import java.util.Comparator;
import java.util.Locale;
import java.util.Optional;

/** Suggests the known name that is closest to a mistyped one. */
public final class NameSuggestion {
    private static final int MAX_EDIT_DISTANCE = 3;

    private NameSuggestion() {}

    /** Returns the known name with the smallest edit distance, if it is close enough to suggest. */
    public static Optional<String> nearest(String typed, Collection<String> known) {
        String typedLowerCase = typed.toLowerCase(Locale.ROOT);
        return known.stream()
                .filter(name -> Math.abs(typed.length() - name.length()) <= MAX_EDIT_DISTANCE)
                .filter(name ->
                        editDistance(typedLowerCase, name.toLowerCase(Locale.ROOT)) <= maxDistance(typedLowerCase))
                .min(Comparator.comparingInt(name -> editDistance(typedLowerCase, name.toLowerCase(Locale.ROOT))));
    }

    /** Returns {@code ", did you mean 'x'?"} for the closest known name, or an empty text if none is close enough. */
    public static String didYouMean(String typed, Collection<String> known) {
        return nearest(typed, known)
                .map(name -> ", did you mean '" + name + "'?")
                .orElse("");
    }

    private static int maxDistance(String typed) {
        return Math.min(MAX_EDIT_DISTANCE, Math.max(1, typed.length() / 2));
    }

    private static int editDistance(String left, String right) {
        int[] previousRow = new int[right.length() + 1];
        for (int j = 0; j <= right.length(); j++) {
            previousRow[j] = j;
        }
        for (int i = 1; i <= left.length(); i++) {
            int[] currentRow = new int[right.length() + 1];
            currentRow[0] = i;
            for (int j = 1; j <= right.length(); j++) {
                int substitutionCost = previousRow[j - 1] + (left.charAt(i - 1) == right.charAt(j - 1) ? 0 : 1);
                currentRow[j] = Math.min(substitutionCost, 1 + Math.min(previousRow[j], currentRow[j - 1]));
            }
            previousRow = currentRow;
        }
        return previousRow[right.length()];
    }
}
