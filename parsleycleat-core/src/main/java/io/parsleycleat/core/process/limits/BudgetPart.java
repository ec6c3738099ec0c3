package io.parsleycleat.core.process.limits;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * What one home holds of one account's token budget: zero or more of its equal parts.
 *
 * <p>Keeps that all homes together never hold more than the burst. Held are the tokens that can be spent, those of open
 * debits that can still come back, and those lent and not yet lapsed. New tokens displace what can still come back, as
 * they would in a single bucket that had known the true use from the start.
 *
 * <p>Created by {@link HomeAccount}, whose lock guards it. Time is passed in, as monotonic nanoseconds.
 */
final class BudgetPart {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final double ROUNDING = 1e-6;

    /** Room that was lent or borrowed until a time. */
    private record Loan(String id, double tokens, long untilNanos) {}

    private double ratePerPart;
    private double burstPerPart;

    private final Map<String, Double> returnable = new LinkedHashMap<>();
    private final Deque<Loan> lent = new ArrayDeque<>();
    private final Deque<Loan> borrowed = new ArrayDeque<>();
    private int parts;
    private double level;
    private double returnableSum;
    private double lentRoom;
    private double borrowedRoom;
    private double keptRoom;
    private long mintedNanos;

    /** Creates a budget without any part. Nothing is minted before the given time. */
    BudgetPart(double ratePerPart, double burstPerPart, long startNanos) {
        this.ratePerPart = ratePerPart;
        this.burstPerPart = burstPerPart;
        this.mintedNanos = startNanos;
    }

    // Parts

    /** Changes rate and burst; tokens above the new burst are dropped. */
    void configure(double newRatePerPart, double newBurstPerPart, long now) {
        advance(now);
        ratePerPart = newRatePerPart;
        burstPerPart = newBurstPerPart;
        trim();
    }

    /** Adds a part with its tokens. The rest of its room may still be lent by the former owner until a time. */
    void addPart(double tokens, long roomUntilNanos, long now) {
        advance(now);
        double kept = Math.min(Math.max(tokens, 0), burstPerPart);
        parts++;
        level += kept;
        if (kept < burstPerPart) {
            lent.addLast(new Loan("", burstPerPart - kept, roomUntilNanos));
            lentRoom += burstPerPart - kept;
        }
        trim();
    }

    /** Takes a part away and returns the tokens that go with it. */
    double removePart(long now) {
        advance(now);
        double tokens = Math.min(level / parts, burstPerPart);
        level -= tokens;
        parts--;
        trim();
        return tokens;
    }

    int parts() {
        return parts;
    }

    // Debits

    /** Returns the tokens that can be spent. */
    double available(long now) {
        advance(now);
        return level;
    }

    /** Takes tokens if there are enough. */
    boolean debit(String id, double tokens, long now) {
        advance(now);
        if (tokens > level + ROUNDING) {
            return false;
        }
        level = Math.max(0, level - tokens);
        returnable.put(id, tokens);
        returnableSum += tokens;
        trim();
        return true;
    }

    /** Closes a debit and gives back what it did not use, as far as it was not displaced. */
    void settle(String id, double returnedTokens, long now) {
        advance(now);
        Double open = returnable.remove(id);
        if (open != null) {
            returnableSum = returnable.isEmpty() ? 0 : returnableSum - open;
            level += Math.max(0, Math.min(returnedTokens, open));
            trim();
        }
    }

    /** Returns after how many seconds the tokens will be there, if this home alone can save them up. */
    OptionalDouble secondsUntil(double tokens, long now) {
        double missing = tokens - available(now);
        if (missing <= ROUNDING) {
            return OptionalDouble.of(0);
        }
        double rate = rate();
        return rate <= 0 || tokens > capacity() + ROUNDING ? OptionalDouble.empty() : OptionalDouble.of(missing / rate);
    }

    // Loans

    /**
     * Takes out tokens for another home. Their room is not minted again before the time given, but for what the
     * borrower keeps room for.
     */
    double lend(String id, double wanted, double roomKept, long untilNanos, long now) {
        advance(now);
        double tokens = Math.max(0, Math.min(wanted, level));
        if (tokens > 0) {
            double room = Math.max(0, tokens - roomKept);
            level -= tokens;
            lent.addLast(new Loan(id, room, untilNanos));
            lentRoom += room;
        }
        return tokens;
    }

    /** Keeps free room for tokens that are to be borrowed, and returns how much of it there is. */
    double keepRoom(double wanted, long now) {
        advance(now);
        double free = capacity() - level - returnableSum - borrowedRoom;
        double room = Math.max(0, Math.min(wanted, free));
        keptRoom += room;
        return room;
    }

    /** Ends the keeping of room. */
    void freeRoom(double room, long now) {
        advance(now);
        keptRoom = Math.max(0, keptRoom - room);
    }

    /** Adds borrowed tokens. What is not spent and has no room here is dropped at the time given. */
    void borrow(String id, double tokens, double roomKept, long untilNanos, long now) {
        freeRoom(roomKept, now);
        if (untilNanos - now > 0) {
            double room = Math.max(0, tokens - roomKept);
            level += tokens;
            borrowed.addLast(new Loan(id, room, untilNanos));
            borrowedRoom += room;
        }
    }

    /** Takes lent tokens back, with their room, unless the loan has lapsed. Only the first call has an effect. */
    void takeBack(String id, double returned, long now) {
        advance(now);
        lent.stream().filter(l -> l.id().equals(id)).findFirst().ifPresent(loan -> {
            lent.remove(loan);
            lentRoom = lent.isEmpty() ? 0 : lentRoom - loan.tokens();
            level += Math.max(0, Math.min(returned, loan.tokens()));
            trim();
        });
    }

    /** Takes out what a loan brought and this home has no room of its own for, to give it back. */
    double removeUnspent(String id, long now) {
        advance(now);
        Optional<Loan> found = borrowed.stream().filter(l -> l.id().equals(id)).findFirst();
        double over = level - Math.max(0, parts * burstPerPart - lentRoom - keptRoom);
        if (found.isEmpty() || over <= 0) {
            return 0;
        }
        Loan loan = found.get();
        double tokens = Math.min(over, loan.tokens());
        borrowed.remove(loan);
        borrowedRoom = borrowed.isEmpty() ? 0 : borrowedRoom - loan.tokens();
        level -= tokens;
        trim();
        return tokens;
    }

    double rate() {
        return parts * ratePerPart;
    }

    double capacity() {
        return Math.max(0, parts * burstPerPart - lentRoom - keptRoom) + borrowedRoom;
    }

    // Internals

    private void advance(long now) {
        for (Loan loan = firstLapsed(now); loan != null; loan = firstLapsed(now)) {
            mint(loan.untilNanos());
            if (loan.equals(lent.peekFirst())) {
                lent.removeFirst();
                lentRoom = lent.isEmpty() ? 0 : lentRoom - loan.tokens();
            } else {
                borrowed.removeFirst();
                borrowedRoom = borrowed.isEmpty() ? 0 : borrowedRoom - loan.tokens();
                trim();
            }
        }
        mint(now);
    }

    private @Nullable Loan firstLapsed(long now) {
        Loan out = lent.peekFirst();
        Loan in = borrowed.peekFirst();
        boolean outLapsed = out != null && out.untilNanos() - now <= 0;
        boolean inLapsed = in != null && in.untilNanos() - now <= 0;
        if (outLapsed && inLapsed) {
            return out.untilNanos() - in.untilNanos() < 0 ? out : in;
        }
        return outLapsed ? out : inLapsed ? in : null;
    }

    private void mint(long now) {
        long elapsed = now - mintedNanos;
        if (elapsed <= 0) {
            return;
        }
        mintedNanos = now;
        double minted = rate() * elapsed / NANOS_PER_SECOND;
        level = Math.max(level, Math.min(level + minted, capacity()));
        trim();
    }

    private void trim() {
        double over = level + returnableSum - capacity();
        var oldest = returnable.entrySet().iterator();
        while (over > 0 && oldest.hasNext()) {
            var debit = oldest.next();
            double cut = Math.min(over, debit.getValue());
            over -= cut;
            returnableSum -= cut;
            if (cut >= debit.getValue()) {
                oldest.remove();
            } else {
                debit.setValue(debit.getValue() - cut);
            }
        }
        returnableSum = returnable.isEmpty() ? 0 : returnableSum;
        level = Math.max(0, Math.min(level, capacity()));
    }
}
