package io.parsleycleat.core.request.serve;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.core.process.limits.Reservation;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.request.routing.Selection;
import io.parsleycleat.core.request.serve.EntryFixture.RecordedExchange;
import io.parsleycleat.wire.configuration.Account;
import io.parsleycleat.wire.configuration.Adapter;
import io.parsleycleat.wire.configuration.IdempotencyRule;
import io.parsleycleat.wire.configuration.ItemKind;
import io.parsleycleat.wire.configuration.Route;
import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class RequestConfigurationTest {
    // The withdrawal of a key

    /** Guards against a request that starts although its key was withdrawn while it waited for tokens. */
    @Test
    public void requestWhoseKeyIsWithdrawnDuringTheWaitForTokensIsNotStarted() {
        EntryFixture entry = new EntryFixture(1);
        CompletableFuture<Either<Refusal, Reservation>> tokens = new CompletableFuture<>();
        entry.limiter = (account, wanted) -> tokens;
        entry.sides.add("side-1", EntryFixture::serve);
        RecordedExchange caller = entry.get();
        entry.withdrawKey();
        entry.granted().thenAccept(tokens::complete);
        assertEquals(caller.code(), ResultCode.KEY_WITHDRAWN.number());
        assertEquals(entry.starts(), List.of());
        assertEquals(entry.settled, List.of(0.0));
    }

    /** Guards against a request that starts although its key was withdrawn while an upstream was chosen. */
    @Test
    public void requestWhoseKeyIsWithdrawnDuringTheChoiceIsNotStarted() {
        EntryFixture entry = new EntryFixture(1);
        CompletableFuture<Either<Refusal, Selection>> pending = new CompletableFuture<>();
        entry.selector = request -> pending.thenApply(go -> EntryFixture.firstAllowed(request));
        entry.sides.add("side-1", EntryFixture::serve);
        RecordedExchange caller = entry.complete(true);
        entry.withdrawKey();
        pending.complete(Either.left(Refusal.of(ResultCode.NO_UPSTREAM)));
        assertEquals(caller.code(), ResultCode.KEY_WITHDRAWN.number());
        assertEquals(entry.starts(), List.of());
    }

    /** Guards against a second attempt for a withdrawn key, and against "not run" after the first one. */
    @Test
    public void requestWhoseKeyIsWithdrawnIsNotTriedAgain() {
        EntryFixture entry = new EntryFixture(1);
        entry.sides.add("side-1", (start, channel) -> {
            entry.withdrawKey();
            EntryFixture.end(start, channel, ResultCode.UPSTREAM_LOST, 0);
        });
        entry.sides.add("side-2", EntryFixture::serve);
        RecordedExchange caller = entry.get();
        assertEquals(entry.starts().size(), 1);
        assertEquals(caller.code(), ResultCode.UPSTREAM_LOST.number());
    }

    /** Guards against an answer that is cut since its key was withdrawn after it had begun. */
    @Test
    public void answerThatRunsIsCompletedAfterItsKeyWasWithdrawn() {
        EntryFixture entry = new EntryFixture(1);
        entry.sides.add("side-1", (start, channel) -> {
            EntryFixture.begin(start, channel);
            entry.withdrawKey();
            EntryFixture.end(start, channel, ResultCode.DONE, 1);
        });
        assertTrue(entry.get().isWhole());
    }

    // Repeats

    /** Guards against a second run of a request whose route was meanwhile said not to be idempotent. */
    @Test
    public void requestIsNotRepeatedOnceItsRouteIsNotIdempotentAnyMore() {
        EntryFixture entry = new EntryFixture(1);
        entry.put(
                EntryFixture.route(IdempotencyRule.IDEMPOTENCY_RULE_ALL_METHODS).build());
        entry.sides.add("side-1", (start, channel) -> {
            entry.put(EntryFixture.route(IdempotencyRule.IDEMPOTENCY_RULE_NO_METHODS)
                    .build());
            EntryFixture.end(start, channel, ResultCode.UPSTREAM_LOST, 0);
        });
        entry.sides.add("side-2", EntryFixture::serve);
        RecordedExchange caller = entry.post();
        assertEquals(entry.starts().size(), 1);
        assertEquals(caller.code(), ResultCode.UPSTREAM_LOST.number());
    }

    /** Guards against a second run of a request that was admitted as one that may run once only. */
    @Test
    public void requestThatMayRunOnceIsNotRepeatedSinceItsRouteBecameIdempotent() {
        EntryFixture entry = new EntryFixture(1);
        entry.sides.add("side-1", (start, channel) -> {
            entry.put(EntryFixture.route(IdempotencyRule.IDEMPOTENCY_RULE_ALL_METHODS)
                    .build());
            EntryFixture.end(start, channel, ResultCode.UPSTREAM_LOST, 0);
        });
        entry.sides.add("side-2", EntryFixture::serve);
        assertEquals(entry.post().code(), ResultCode.UPSTREAM_LOST.number());
        assertEquals(entry.starts().size(), 1);
    }

    // An entry and a side that know different versions

    @DataProvider
    public Object[][] refusalsOfAnotherVersion() {
        return new Object[][] {{ResultCode.EPOCH_STALE}, {ResultCode.NO_UPSTREAM}};
    }

    /** Guards against a request that is refused since its side knew a later epoch or stands beside something else. */
    @Test(dataProvider = "refusalsOfAnotherVersion")
    public void requestGoesOnThoughTheSideKnewAnotherVersionAndNoRetryIsLeft(ResultCode refusal) {
        EntryFixture entry = new EntryFixture(0);
        boolean[] refused = {false};
        entry.sides.add("side-1", (start, channel) -> {
            if (refused[0]) {
                EntryFixture.serve(start, channel);
            } else {
                refused[0] = true;
                EntryFixture.end(start, channel, refusal, 0);
            }
        });
        entry.sides.add("side-2", EntryFixture::serve);
        RecordedExchange caller = entry.post();
        assertTrue(caller.isWhole(), caller.toString());
    }

    // Everything else holds as of the admission

    /** A change and its name. */
    private record Step(String name, Consumer<EntryFixture> change) {
        @Override
        public String toString() {
            return name;
        }
    }

    @DataProvider
    public Object[][] changes() {
        return new Object[][] {
            {new Step("the route is removed", e -> e.remove(ItemKind.ITEM_KIND_ROUTE, "orders"))},
            {
                new Step(
                        "the route leads elsewhere",
                        e -> e.put(Route.newBuilder()
                                .setId("orders")
                                .setService("other")
                                .build()))
            },
            {new Step("the account is removed", e -> e.remove(ItemKind.ITEM_KIND_ACCOUNT, "one"))},
            {
                new Step(
                        "the account is free now",
                        e -> e.put(Account.newBuilder()
                                .setId("one")
                                .setFreeTier(true)
                                .build()))
            },
            {new Step("the adapter is removed", e -> e.remove(ItemKind.ITEM_KIND_ADAPTER, "tuned"))},
            {
                new Step(
                        "the version is removed",
                        e -> e.put(Adapter.newBuilder()
                                .setId("tuned")
                                .setBaseModel("other")
                                .addVersions("2")
                                .setCurrentVersion("2")
                                .build()))
            },
        };
    }

    /** Guards against an accepted request that is refused, or sent elsewhere, by a change while it waits. */
    @Test(dataProvider = "changes")
    public void requestThatWaitsIsServedAsItWasAdmitted(Step step) {
        for (boolean completion : List.of(true, false)) {
            EntryFixture entry = new EntryFixture(1);
            CompletableFuture<Either<Refusal, Reservation>> pending = new CompletableFuture<>();
            entry.limiter = (account, wanted) -> pending;
            entry.sides.add("side-1", EntryFixture::serve);
            RecordedExchange caller = completion ? entry.complete(false) : entry.post();
            step.change().accept(entry);
            entry.granted().thenAccept(pending::complete);
            assertTrue(caller.isWhole(), caller.toString());
            assertEquals(entry.starts().get(0).getStart().getAccountId(), "one");
            assertEquals(entry.starts().get(0).getStart().getFreeTier(), false);
            assertEquals(entry.starts().get(0).getStart().getAdapter().getVersion(), completion ? "1" : "");
            assertEquals(entry.starts().get(0).getStart().getService().getService(), completion ? "" : "orders");
        }
    }
}
