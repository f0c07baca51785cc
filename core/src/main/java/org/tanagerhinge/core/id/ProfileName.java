package org.tanagerhinge.core.id;

/** Identifies a profile: the class of service that a caller selects for a request. */
public record ProfileName(String value) implements Comparable<ProfileName> {
    public ProfileName {
        IdSyntax.requireValid("profile", value);
    }

    /** Returns the name with the given text, for example {@code ProfileName.of("card")}. */
    public static ProfileName of(String value) {
        return new ProfileName(value);
    }

    @Override
    public int compareTo(ProfileName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
