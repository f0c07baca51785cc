package org.tanagerhinge.core.id;

import java.util.regex.Pattern;

/** Validates the syntax of ids: 1 to 64 letters, digits, dots, dashes and underscores. */
final class IdSyntax {
    private static final Pattern VALID_ID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

    private IdSyntax() {}

    static String requireValid(String kind, String value) {
        if (value == null || !VALID_ID.matcher(value).matches()) {
            throw new IllegalArgumentException(kind + " '" + value
                    + "': expected 1 to 64 letters, digits, '.', '-' or '_', starting with a letter or digit");
        }
        return value;
    }
}
