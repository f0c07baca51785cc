package org.tanagerhinge.core.config;

import java.util.List;
import java.util.stream.Stream;

/** Limits the list of ids of a document's latest edits. */
final class ChangeIds {
    private static final int MAX_IDS = 16;

    private ChangeIds() {}

    static List<String> prepend(String newId, List<String> earlierIds) {
        return Stream.concat(Stream.of(newId), earlierIds.stream())
                .limit(MAX_IDS)
                .toList();
    }
}
