package org.tanagerhinge.core.id;

/** Identifies a caller's request; unique within one run of the router that received it. */
public record RequestId(String value) {
    /** Returns the id with the given text. */
    public static RequestId of(String value) {
        return new RequestId(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
