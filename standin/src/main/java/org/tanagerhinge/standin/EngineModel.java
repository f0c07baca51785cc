package org.tanagerhinge.standin;

/**
 * Performance parameters of a stand-in engine.
 *
 * @param baseMillis duration of a step with an empty batch
 * @param perSequenceMillis additional step duration per running sequence
 * @param prefillTokensPerMilli prefill rate in tokens per millisecond; prefill lengthens its step
 * @param maxSequences maximum number of sequences in the batch
 * @param kvTokens capacity of the KV memory in tokens
 * @param prefixTokens capacity of the prefix cache in tokens
 * @param medianLength median answer length in tokens
 * @param lengthSigma sigma of the log-normal answer length
 * @param maxLength maximum answer length in tokens
 */
public record EngineModel(
        double baseMillis,
        double perSequenceMillis,
        double prefillTokensPerMilli,
        int maxSequences,
        long kvTokens,
        long prefixTokens,
        int medianLength,
        double lengthSigma,
        int maxLength) {
    /** Returns the model of a small engine: 12 ms per step plus 0.6 ms for each of up to 24 sequences. */
    public static EngineModel small() {
        return new EngineModel(12, 0.6, 20, 24, 60_000, 40_000, 40, 0.7, 400);
    }

    /** Returns this model with other answer lengths. */
    public EngineModel withLengths(int median, double sigma, int most) {
        return new EngineModel(
                baseMillis,
                perSequenceMillis,
                prefillTokensPerMilli,
                maxSequences,
                kvTokens,
                prefixTokens,
                median,
                sigma,
                most);
    }
}
