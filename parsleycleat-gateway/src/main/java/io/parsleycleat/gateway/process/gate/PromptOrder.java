package io.parsleycleat.gateway.process.gate;

/** What decides which waiting start of an engine is next. Set for each side by its settings. */
public enum PromptOrder {
    /** The objective, then priority and arrival, whatever the lengths of the prompts. */
    BY_URGENCY,
    /** As well the lengths of the prompts, so that long ones hold up short ones less. */
    BY_LENGTH
}
