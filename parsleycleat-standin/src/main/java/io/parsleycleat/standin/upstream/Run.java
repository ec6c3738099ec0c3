package io.parsleycleat.standin.upstream;

import org.jspecify.annotations.Nullable;

/**
 * One run on an engine and how far it got.
 *
 * <p>Created by {@link ModelEngineStandIn} for each request; used under the lock of {@link BatchScheduler}.
 */
final class Run {
    private final String id;
    private final String model;
    private final String prompt;
    private final int priority;
    private final boolean crashing;
    private final int count;
    private final String finishReason;
    private final long hash;
    private @Nullable RunListener listener;
    private long firstTold;
    private int generated;
    private boolean cancelled;

    Run(String id, String model, String prompt, int priority, boolean crashing, int maxTokens, boolean untilBound) {
        this.id = id;
        this.model = model;
        this.prompt = prompt;
        this.priority = priority;
        this.crashing = crashing;
        this.count = Math.max(1, untilBound ? maxTokens : EngineTokens.count(model, prompt, maxTokens));
        this.finishReason = count >= maxTokens ? "length" : "stop";
        this.hash = EngineTokens.hash(model, prompt);
    }

    String id() {
        return id;
    }

    String model() {
        return model;
    }

    String prompt() {
        return prompt;
    }

    int priority() {
        return priority;
    }

    boolean isCrashing() {
        return crashing;
    }

    boolean isDone() {
        return cancelled || generated >= count;
    }

    int generated() {
        return generated;
    }

    int promptTokens() {
        return EngineTokens.promptTokens(prompt);
    }

    /** Replaces who takes the answer, and tells the tokens from an index on and the end if it was reached. */
    void attach(RunListener newListener, long from) {
        breakOff();
        listener = newListener;
        firstTold = from;
        newListener.onAccepted();
        for (long i = from; i < generated; i++) {
            newListener.onToken(i, EngineTokens.text(hash, i));
        }
        tellEnd();
    }

    /** Generates the next token. */
    void advance() {
        if (listener != null && generated >= firstTold) {
            listener.onToken(generated, EngineTokens.text(hash, generated));
        }
        generated++;
        tellEnd();
    }

    void cancel() {
        cancelled = true;
        tellEnd();
    }

    /** Breaks the answer off. */
    void breakOff() {
        if (listener != null) {
            listener.onBroken();
            listener = null;
        }
    }

    private void tellEnd() {
        if (isDone() && listener != null) {
            listener.onEnd(cancelled ? "cancelled" : finishReason, promptTokens(), generated);
            listener = null;
        }
    }
}
