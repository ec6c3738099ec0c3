package io.parsleycleat.core.version.configuration.keys;

import static org.testng.Assert.assertEquals;

import io.parsleycleat.core.process.membership.Membership;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.version.configuration.ConfigurationState;
import io.parsleycleat.core.version.configuration.FixedConfiguration;
import io.parsleycleat.core.version.configuration.VirtualScheduler;
import io.parsleycleat.wire.configuration.Snapshot;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;

public class KeyGateTest {
    private static ResultCode atSide(Snapshot known) {
        VirtualScheduler time = new VirtualScheduler();
        Membership nobody = new Membership(() -> CompletableFuture.completedFuture(List.of()), time);
        CutOffMonitor monitor = new CutOffMonitor(time, nobody, "dc", Duration.ofMinutes(1));
        KeyGate gate = new KeyGate(
                new FixedConfiguration(ConfigurationState.of(known)), monitor, CutOffPolicy.REFUSE_ISOLATED_GROUP);
        return gate.refusal("new").map(Refusal::code).orElse(ResultCode.DONE);
    }

    /** Guards against "the key is not known" for a key that an entry knows and whose issue the side has not read. */
    @Test
    public void keyThatAnEntryCheckedIsNotRefusedByASideThatIsBehind() {
        assertEquals(atSide(Snapshot.getDefaultInstance()), ResultCode.DONE);
    }

    /** Guards against a withdrawn key that passes a side which knows the withdrawal and not the key. */
    @Test
    public void withdrawalIsInForceAtASideThatDoesNotKnowTheKey() {
        Snapshot withdrawn = Snapshot.newBuilder().addWithdrawnKeyIds("new").build();
        assertEquals(atSide(withdrawn), ResultCode.KEY_WITHDRAWN);
    }
}
