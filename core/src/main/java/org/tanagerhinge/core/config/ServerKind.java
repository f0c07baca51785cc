package org.tanagerhinge.core.config;

import java.util.Locale;

/** Lists the kinds of backend servers. */
public enum ServerKind {
    /** A model engine that speaks the OpenAI format. */
    MODEL,
    /** A plain HTTP service. */
    SERVICE;

    /** Returns the name used in documents, for example {@code model}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
