package io.parsleycleat.standin.upstream;

/** Takes a run's answer as an engine generates it. Called under the engine's lock, so it must not block. */
interface RunListener {
    /** Called once before the first token. */
    void onAccepted();

    /** Called for each token. */
    void onToken(long index, String text);

    /** Called once when the answer is whole. */
    void onEnd(String finishReason, int promptTokens, int generatedTokens);

    /** Called once when the run breaks off. */
    void onBroken();
}
