package io.parsleycleat.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.gateway.connection.ScriptedUpstream;
import io.parsleycleat.gateway.request.limits.BudgetPeers;
import io.parsleycleat.gateway.version.routes.Account;
import io.parsleycleat.gateway.version.routes.RequestKind;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Guards that the budget of each waiting request is decided, whatever becomes of its account and the homes. */
public class UndecidedBudgetTest extends ForwardingFixture {
    private static final long ANSWER_LIMIT_SECONDS = 10;

    /** Guards against requests of an account that wait for ever after asking a home has thrown once. */
    @Test
    public void homeThatCannotBeAskedCountsAsSilent() throws Exception {
        SilentPeers peers = SilentPeers.limitAccount(entry, Duration.ofSeconds(60));
        entry.faults.throwAt("draw");
        assertEquals(
                send("/p/x", "key").answer.get(ANSWER_LIMIT_SECONDS, TimeUnit.SECONDS),
                "429 " + ResultCode.RATE_EXCEEDED);
        assertEquals(peers.draws.size(), 0);
    }

    /** Guards against a refusal for want of a budget that the account has no more. */
    @Test
    public void requestThatWaitsForABudgetRunsWhenItsAccountLosesItsLimit() throws Exception {
        SilentPeers peers = SilentPeers.limitAccount(entry, Duration.ofSeconds(60));
        try (ScriptedUpstream one = new ScriptedUpstream(respondWith(okAnswer("done"), true))) {
            addUpstream("a", one.address());
            RecordingCaller caller = send("/p/x", "key");
            peers.draws.take();
            entry.budgets.setAccounts(List.of(ACCOUNT));
            assertEquals(caller.answer.get(ANSWER_LIMIT_SECONDS, TimeUnit.SECONDS), "200 done");
        }
    }

    /** Guards against running a request in the name of an account that no longer holds its key. */
    @Test
    public void requestThatWaitsForABudgetRunsInTheNameOfTheAccountThatHoldsItsKeyThen() throws Exception {
        SilentPeers peers = SilentPeers.limitAccount(entry, Duration.ofSeconds(60));
        Account newHolder = new Account("weavers", Set.of("key"), null, false, 0, 0, 1);
        try (ScriptedUpstream one = new ScriptedUpstream(respondWith(okAnswer("done"), true))) {
            addUpstream("a", one.address());
            RecordingCaller caller = send("/p/x", "key");
            CompletableFuture<BudgetPeers.Grant> draw = peers.draws.take();
            Duration seconds = Duration.ofSeconds(60);
            entry.configure(RequestKind.ONCE, false, 1, seconds, seconds, null, List.of(newHolder));
            draw.complete(new BudgetPeers.Grant(1, 1));
            assertEquals(caller.answer.get(ANSWER_LIMIT_SECONDS, TimeUnit.SECONDS), "200 done");
            String sent = one.takeRequest();
            assertTrue(sent.contains("account: weavers"), sent);
        }
    }
}
