package io.parsleycleat.core.process.limits;

import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;

/**
 * What an entry knows of one part of one account's budget: whether it holds it, waits for it or has passed it on.
 *
 * <p>A new owner holds the part only after each former owner gave it up or lapsed. Created by {@link HomeAccount},
 * whose lock guards it.
 */
final class PartSlot {
    /** Where the part stands. */
    enum State {
        /** Owned by another entry; nothing of it is here. */
        ABSENT,
        /** Owned by this entry, which waits for the former owners. */
        PENDING,
        /** Owned and minted by this entry. */
        HELD,
        /** Owned by another entry, which has not asked for it yet. */
        RELEASED
    }

    private final Set<String> formerOwners = new HashSet<>();
    private State state = State.ABSENT;
    private double tokens;
    private boolean fresh;
    private boolean touched;
    private long ownedSince;
    private String heir = "";
    private long validUntilNanos;
    private long receiverIncarnation;

    /**
     * Creates a slot of a part that is owned elsewhere.
     *
     * @param newAccount whether the account appeared after this process had started, so that nobody used it before
     */
    PartSlot(boolean newAccount) {
        this.fresh = newAccount;
        this.touched = !newAccount;
    }

    State state() {
        return state;
    }

    /** Returns the entries that must give up the part before this one holds it. */
    Set<String> awaited() {
        return state == State.PENDING ? new TreeSet<>(formerOwners) : Set.of();
    }

    /** Makes this entry the owner from an epoch on, after the entries given. */
    void own(Set<String> formerOwnerVms, long epoch) {
        if (state == State.ABSENT || state == State.RELEASED) {
            state = State.PENDING;
            ownedSince = epoch;
            tokens = 0;
            formerOwners.addAll(formerOwnerVms);
        }
    }

    /** Returns the epoch since which this entry owns the part without a break. */
    long ownedSince() {
        return ownedSince;
    }

    /**
     * Makes another entry the owner.
     *
     * @param heldTokens the tokens that were held here
     * @param untilNanos when the new owner may have taken over without them
     */
    void disown(double heldTokens, String newOwner, long untilNanos) {
        if (state == State.HELD) {
            tokens = heldTokens;
        }
        if (state == State.HELD || state == State.PENDING) {
            state = State.RELEASED;
            heir = newOwner;
            validUntilNanos = untilNanos;
        } else if (!newOwner.equals(heir)) {
            tokens = 0;
            heir = "";
        }
        formerOwners.clear();
    }

    /** Notes that a former owner gave up the part. */
    void receive(String formerOwner, double receivedTokens, boolean neverHeld) {
        if (state == State.PENDING && formerOwners.remove(formerOwner)) {
            tokens += receivedTokens;
            fresh &= neverHeld;
        }
    }

    /** Returns whether nothing more is awaited. */
    boolean isComplete() {
        return state == State.PENDING && formerOwners.isEmpty();
    }

    /** Starts to hold the part and returns the tokens that it starts with. */
    double hold(double burstPerPart) {
        double start = fresh ? burstPerPart : tokens;
        state = State.HELD;
        tokens = 0;
        fresh = false;
        touched = true;
        return start;
    }

    /** Returns whether the part may have been held here at any time. */
    boolean isTouched() {
        return touched;
    }

    /** Gives the part up. A repeat by the same process gets the same tokens; any other gets none. */
    double give(String asker, long askerIncarnation, long now) {
        boolean first = state == State.RELEASED;
        if (first) {
            state = State.ABSENT;
            receiverIncarnation = askerIncarnation;
        }
        boolean entitled = asker.equals(heir) && askerIncarnation == receiverIncarnation && now - validUntilNanos < 0;
        return entitled ? tokens : 0;
    }
}
