package org.tanagerhinge.core.id;

/** Identifies a failure domain: hosts that are expected to fail together. */
public record FailureDomain(String value) {
    public FailureDomain {
        IdSyntax.requireValid("failure domain", value);
    }

    /** Returns the failure domain with the given text, for example {@code FailureDomain.of("kita")}. */
    public static FailureDomain of(String value) {
        return new FailureDomain(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
