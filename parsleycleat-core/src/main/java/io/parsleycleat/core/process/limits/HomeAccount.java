package io.parsleycleat.core.process.limits;

import io.parsleycleat.core.process.membership.Epoch;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.wire.configuration.Account;
import io.parsleycleat.wire.escrow.Debit;
import io.parsleycleat.wire.escrow.EpochMember;
import io.parsleycleat.wire.escrow.HandOver;
import io.parsleycleat.wire.escrow.HandOverAnswer;
import io.parsleycleat.wire.escrow.Lend;
import io.parsleycleat.wire.escrow.LendAnswer;
import io.parsleycleat.wire.escrow.LendReturn;
import io.parsleycleat.wire.escrow.Settlement;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;

/**
 * One account's budget at one entry, as far as the entry is a home of it. Each is a shard with a lock of its own.
 *
 * <p>Created by {@link EscrowLimiter} for each account; safe to share between threads.
 */
final class HomeAccount {
    private static final int MAX_LOAN_ROUNDS = 3;
    private static final double MILLIS_PER_SECOND = 1000;
    private static final double ROUNDING_TOKENS = 1e-6;
    /** Below this share of its own capacity a home asks for tokens of homes that are full. */
    private static final double BALANCING_LEVEL = 0.7;

    private static final double FULL_LEVEL = 0.8;

    /** A debit that waits for a loan. */
    private record Waiting(Debit debit, int rounds, CompletableFuture<DebitDecision> result) {
        Waiting withRound() {
            return new Waiting(debit, rounds + 1, result);
        }

        double tokens() {
            return debit.getTokens();
        }
    }

    private final String vmName;
    private final TimeSource time;
    private final BooleanSupplier standing;
    private final Lenders lenders;
    private final EscrowSettings settings;

    private final Object lock = new Object();
    private final List<PartSlot> slots;
    private final BudgetPart budget;
    private final long createdNanos;
    private final RecentDebits recent;
    private final LenderEstimates estimates = new LenderEstimates();
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private Account account;
    private Epoch epoch = Epoch.NONE;
    private Map<String, EpochMember> others = Map.of();
    private Map<String, Integer> partCounts = Map.of();
    private boolean borrowing;
    private long loanCount;

    HomeAccount(
            Account account,
            boolean newAccount,
            String vmName,
            TimeSource time,
            BooleanSupplier standing,
            Lenders lenders,
            EscrowSettings settings) {
        this.account = account;
        this.vmName = vmName;
        this.time = time;
        this.standing = standing;
        this.lenders = lenders;
        this.settings = settings;
        this.slots = IntStream.range(0, Parts.COUNT)
                .mapToObj(part -> new PartSlot(newAccount))
                .toList();
        this.createdNanos = time.monotonicNanos();
        this.budget = new BudgetPart(ratePerPart(account), burstPerPart(account), createdNanos);
        this.recent = new RecentDebits();
    }

    // Configuration and epochs

    /** Takes in a changed rate or burst. */
    void configure(Account changed) {
        synchronized (lock) {
            account = changed;
            budget.configure(ratePerPart(changed), burstPerPart(changed), time.monotonicNanos());
        }
    }

    /** Takes in the next epoch. */
    void adopt(Epoch next, List<Epoch> earlier) {
        String id = account.getId();
        List<EpochMember> owners = Parts.owners(id, next);
        Map<Integer, Set<String>> former = formerOwners(id, earlier);
        synchronized (lock) {
            epoch = next;
            long now = time.monotonicNanos();
            others = owners.stream()
                    .filter(m -> !m.getVmName().equals(vmName))
                    .collect(Collectors.toMap(EpochMember::getVmName, m -> m, (a, b) -> a));
            partCounts = owners.stream().collect(Collectors.toMap(EpochMember::getVmName, m -> 1, Integer::sum));
            estimates.retain(others.keySet());
            IntStream.range(0, slots.size()).forEach(part -> {
                String owner = part < owners.size() ? owners.get(part).getVmName() : "";
                adoptPart(slots.get(part), owner, former.getOrDefault(part, Set.of()), now);
            });
        }
    }

    /** Returns the former owners that each awaited part still needs an answer of. */
    Map<Integer, Set<String>> awaited() {
        synchronized (lock) {
            Map<Integer, Set<String>> found = new HashMap<>();
            IntStream.range(0, slots.size())
                    .filter(part -> !slots.get(part).awaited().isEmpty())
                    .forEach(part -> found.put(part, slots.get(part).awaited()));
            return found;
        }
    }

    /** Takes in a former owner's answer to a request of an epoch. */
    void receive(int part, String formerOwner, long askedEpoch, HandOverAnswer answer) {
        synchronized (lock) {
            PartSlot slot = slots.get(part);
            if (answer.getGiven() && askedEpoch >= slot.ownedSince()) {
                slot.receive(formerOwner, answer.getTokens(), answer.getNeverHeld());
                holdIfComplete(slot, time.monotonicNanos());
            }
        }
    }

    /** Notes that a former owner is absent and was silent for longer than the lapse. */
    void lapse(int part, String formerOwner, Duration gone) {
        synchronized (lock) {
            long now = time.monotonicNanos();
            Duration age = Duration.ofNanos(now - createdNanos);
            boolean neverHeld = gone.compareTo(age.plus(settings.configurationSpread())) > 0;
            slots.get(part).receive(formerOwner, 0, neverHeld);
            holdIfComplete(slots.get(part), now);
        }
    }

    /** Gives up a part to the owner of an epoch, if this entry knows that epoch and does not own the part. */
    HandOverAnswer handOver(HandOver request) {
        synchronized (lock) {
            PartSlot slot = slots.get(request.getPart());
            long now = time.monotonicNanos();
            boolean owned = slot.state() == PartSlot.State.HELD || slot.state() == PartSlot.State.PENDING;
            HandOverAnswer.Builder answer = HandOverAnswer.newBuilder().setEpoch(epoch.number());
            if (owned || epoch.number() < request.getEpoch()) {
                return answer.build();
            }
            boolean neverHeld = !slot.isTouched();
            return answer.setGiven(true)
                    .setNeverHeld(neverHeld)
                    .setTokens(slot.give(request.getAsker(), request.getAskerIncarnation(), now))
                    .build();
        }
    }

    /** Returns whether nothing of the account is left here. */
    boolean isDrained() {
        synchronized (lock) {
            return slots.stream().allMatch(s -> s.state() == PartSlot.State.ABSENT);
        }
    }

    /** Returns the number of parts that are minted here. */
    int heldParts() {
        synchronized (lock) {
            return budget.parts();
        }
    }

    // Debits

    /** Takes tokens, borrowing from other homes when needed. Never fails. */
    CompletableFuture<DebitDecision> debit(Debit debit) {
        CompletableFuture<DebitDecision> result = new CompletableFuture<>();
        synchronized (lock) {
            long now = time.monotonicNanos();
            CompletableFuture<DebitDecision> known = recent.putIfAbsent(debit.getDebitId(), result, now);
            if (known != null) {
                return known;
            }
            Optional<DebitDecision> decision = decide(debit, now);
            decision.ifPresentOrElse(result::complete, () -> waiting.addLast(new Waiting(debit, 0, result)));
        }
        borrow();
        return result;
    }

    /** Gives back what a debit did not use. */
    void settle(Settlement settlement) {
        synchronized (lock) {
            long now = time.monotonicNanos();
            if (settlement.getGivenUp()) {
                recent.putIfAbsent(
                        settlement.getDebitId(),
                        CompletableFuture.completedFuture(DebitDecision.notHome(epoch.number())),
                        now);
                waiting.removeIf(w -> w.debit().getDebitId().equals(settlement.getDebitId()));
            }
            budget.settle(settlement.getDebitId(), settlement.getReturnedTokens(), now);
        }
    }

    /** Lends tokens to another home; they are deducted before the answer leaves. */
    LendAnswer lend(Lend request) {
        synchronized (lock) {
            long now = time.monotonicNanos();
            LendAnswer.Builder answer = LendAnswer.newBuilder().setEpoch(epoch.number());
            if (!standing.getAsBoolean()) {
                return answer.build();
            }
            long until = now + settings.lendTerm().toNanos();
            double tokens = budget.lend(request.getLendId(), request.getTokens(), request.getKeptRoom(), until, now);
            return answer.setTokens(tokens)
                    .setRemainingTokens(budget.available(now))
                    .build();
        }
    }

    /** Takes back what a borrower could not use. */
    void takeBack(LendReturn unspent) {
        synchronized (lock) {
            budget.takeBack(unspent.getLendId(), unspent.getTokens(), time.monotonicNanos());
        }
    }

    // Internals: parts

    private void adoptPart(PartSlot slot, String owner, Set<String> former, long now) {
        if (owner.equals(vmName)) {
            slot.own(former, epoch.number());
            holdIfComplete(slot, now);
        } else {
            double held = slot.state() == PartSlot.State.HELD ? budget.removePart(now) : 0;
            double kept = standing.getAsBoolean() ? held : 0;
            slot.disown(kept, owner, now + settings.releasedTokens().toNanos());
        }
    }

    private void holdIfComplete(PartSlot slot, long now) {
        if (slot.isComplete()) {
            double tokens = slot.hold(burstPerPart(account));
            budget.addPart(tokens, now + settings.lendTerm().toNanos(), now);
        }
    }

    private Map<Integer, Set<String>> formerOwners(String accountId, List<Epoch> earlier) {
        List<List<EpochMember>> owners =
                earlier.stream().map(e -> Parts.owners(accountId, e)).toList();
        return IntStream.range(0, Parts.COUNT).boxed().collect(Collectors.toMap(part -> part, part -> owners.stream()
                .filter(o -> part < o.size())
                .map(o -> o.get(part).getVmName())
                .filter(name -> !name.equals(vmName))
                .collect(Collectors.toSet())));
    }

    // Internals: debits and loans

    private Optional<DebitDecision> decide(Debit debit, long now) {
        double tokens = debit.getTokens();
        if (!standing.getAsBoolean() || !partCounts.containsKey(vmName)) {
            return Optional.of(DebitDecision.notHome(epoch.number()));
        }
        double missingRest = missingRest(debit, now);
        if (missingRest > 0) {
            return Optional.of(refusal(missingRest));
        }
        if (budget.debit(debit.getDebitId(), tokens, now)) {
            return Optional.of(DebitDecision.granted(epoch.number()));
        }
        return mostReachable(now) + ROUNDING_TOKENS < tokens
                ? Optional.of(refusal(tokens - mostReachable(now)))
                : Optional.empty();
    }

    /** Returns what the account lacks for a debit that must leave a rest, judged by this home and by all together. */
    private double missingRest(Debit debit, long now) {
        if (debit.getRest() <= 0 || budget.parts() == 0) {
            return 0;
        }
        double share = (double) budget.parts() / Parts.COUNT;
        double level = Math.min(budget.available(now) / share, mostReachable(now));
        return debit.getTokens() + debit.getRest() * account.getBurstTokens() - level;
    }

    private DebitDecision refusal(double missing) {
        double rate = Math.max(account.getTokensPerSecond(), Double.MIN_NORMAL);
        double millis = Math.min(Math.ceil(Math.max(0, missing) / rate * MILLIS_PER_SECOND), Integer.MAX_VALUE);
        return DebitDecision.refused(Duration.ofMillis(Math.max(1, (long) millis)), epoch.number());
    }

    private double mostReachable(long now) {
        return budget.available(now)
                + others.keySet().stream().mapToDouble(name -> most(name, now)).sum();
    }

    private double most(String name, long now) {
        int parts = partCounts.getOrDefault(name, 0);
        return estimates.most(name, parts * ratePerPart(account), parts * burstPerPart(account), now);
    }

    private void borrow() {
        Map<EpochMember, Lend> requests;
        long asked;
        synchronized (lock) {
            asked = time.monotonicNanos();
            if (borrowing) {
                return;
            }
            requests = waiting.isEmpty() ? balancingRequest(asked) : loanRequests(asked);
            if (requests.isEmpty() && waiting.isEmpty()) {
                return;
            }
            borrowing = true;
        }
        List<CompletableFuture<?>> answers = new ArrayList<>();
        requests.forEach(
                (home, request) -> answers.add(lenders.ask(home, request).handle((answer, failure) -> {
                    received(home.getVmName(), request, failure == null ? answer : null, asked);
                    return answer;
                })));
        CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new)).thenRun(() -> endRound(requests));
    }

    private Map<EpochMember, Lend> loanRequests(long now) {
        double missing = waiting.stream().mapToDouble(Waiting::tokens).sum() - budget.available(now);
        Map<EpochMember, Lend> requests = new LinkedHashMap<>();
        List<EpochMember> richestFirst = others.values().stream()
                .sorted(Comparator.comparingDouble((EpochMember m) -> -most(m.getVmName(), now))
                        .thenComparing(EpochMember::getVmName))
                .toList();
        for (EpochMember home : richestFirst) {
            double most = most(home.getVmName(), now);
            if (missing > 0 && most > 0) {
                double wanted = Math.min(missing, most);
                missing -= wanted;
                requests.put(home, loanRequest(wanted, now));
            }
        }
        return requests;
    }

    /** Asks a home that is full, and so mints nothing, for half of what it has more than this one. */
    private Map<EpochMember, Lend> balancingRequest(long now) {
        double level = budget.available(now);
        if (!standing.getAsBoolean() || budget.parts() == 0 || level > BALANCING_LEVEL * budget.capacity()) {
            return Map.of();
        }
        double perPart = level / budget.parts();
        return others.values().stream()
                .filter(m -> perPartOf(m.getVmName(), now) >= FULL_LEVEL * burstPerPart(account))
                .filter(m -> perPartOf(m.getVmName(), now) > perPart + ROUNDING_TOKENS)
                .min(Comparator.comparing(EpochMember::getVmName))
                .map(m -> Map.of(m, loanRequest((perPartOf(m.getVmName(), now) - perPart) / 2, now)))
                .orElse(Map.of());
    }

    private double perPartOf(String name, long now) {
        return most(name, now) / Math.max(1, partCounts.getOrDefault(name, 1));
    }

    private Lend loanRequest(double tokens, long now) {
        loanCount++;
        return Lend.newBuilder()
                .setEpoch(epoch.number())
                .setAccountId(account.getId())
                .setTokens(tokens)
                .setLendId(vmName + '/' + loanCount)
                .setKeptRoom(budget.keepRoom(tokens, now))
                .build();
    }

    private void received(String lender, Lend request, @Nullable LendAnswer answer, long asked) {
        synchronized (lock) {
            long now = time.monotonicNanos();
            if (answer == null) {
                budget.freeRoom(request.getKeptRoom(), now);
                estimates.failed(lender, now + settings.retryUnreachable().toNanos(), now);
                return;
            }
            estimates.answered(lender, answer.getRemainingTokens(), now);
            long until = asked + settings.lendTerm().toNanos();
            budget.borrow(request.getLendId(), answer.getTokens(), request.getKeptRoom(), until, now);
        }
    }

    private void endRound(Map<EpochMember, Lend> requests) {
        Map<Waiting, DebitDecision> decided = new LinkedHashMap<>();
        Map<EpochMember, LendReturn> unspent = new LinkedHashMap<>();
        synchronized (lock) {
            borrowing = false;
            long now = time.monotonicNanos();
            List<Waiting> queue = List.copyOf(waiting);
            waiting.clear();
            queue.forEach(w -> {
                Optional<DebitDecision> decision = decide(w.debit(), now);
                if (decision.isEmpty() && w.rounds() + 1 >= MAX_LOAN_ROUNDS) {
                    decision = Optional.of(refusal(w.tokens() - mostReachable(now)));
                }
                decision.ifPresentOrElse(d -> decided.put(w, d), () -> waiting.addLast(w.withRound()));
            });
            if (waiting.isEmpty()) {
                requests.forEach((home, request) -> unspent.put(home, removeUnspent(request, now)));
            }
        }
        unspent.entrySet().stream()
                .filter(e -> e.getValue().getTokens() > 0)
                .forEach(e -> lenders.giveBack(e.getKey(), e.getValue()));
        decided.forEach((w, d) -> w.result().complete(d));
        borrow();
    }

    private LendReturn removeUnspent(Lend request, long now) {
        return LendReturn.newBuilder()
                .setEpoch(epoch.number())
                .setAccountId(account.getId())
                .setLendId(request.getLendId())
                .setTokens(budget.removeUnspent(request.getLendId(), now))
                .build();
    }

    private static double ratePerPart(Account account) {
        return account.getTokensPerSecond() / Parts.COUNT;
    }

    private static double burstPerPart(Account account) {
        return account.getBurstTokens() / Parts.COUNT;
    }
}
