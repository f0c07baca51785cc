package org.tanagerhinge.core.id;

/** Identifies a backend server and its agent. */
public record ServerId(String value) implements Comparable<ServerId> {
    public ServerId {
        IdSyntax.requireValid("backend server", value);
    }

    /** Returns the id with the given text, for example {@code ServerId.of("kita-engine-1")}. */
    public static ServerId of(String value) {
        return new ServerId(value);
    }

    @Override
    public int compareTo(ServerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
