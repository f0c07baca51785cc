package org.tanagerhinge.core.id;

/** Identifies the target of a request: a model or a plain service. */
public record TargetName(String value) implements Comparable<TargetName> {
    public TargetName {
        IdSyntax.requireValid("model or service", value);
    }

    /** Returns the name with the given text, for example {@code TargetName.of("tanager-8b")}. */
    public static TargetName of(String value) {
        return new TargetName(value);
    }

    @Override
    public int compareTo(TargetName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
