package org.tanagerhinge.core.duty;

/** Represents the outcome of a call to the metadata store or to the usage endpoint of the platform. */
public sealed interface CallOutcome<T> {
    /** The call was answered. */
    record Completed<T>(T value) implements CallOutcome<T> {}

    /** The call got no usable answer: it may have been executed, or may still be executed later. */
    record Unknown<T>(String reason) implements CallOutcome<T> {}
}
