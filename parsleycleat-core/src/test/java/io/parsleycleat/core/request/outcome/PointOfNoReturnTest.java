package io.parsleycleat.core.request.outcome;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultClass;
import io.parsleycleat.core.process.result.ResultCode;
import java.util.Arrays;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class PointOfNoReturnTest {
    @DataProvider
    public Object[][] failures() {
        return Arrays.stream(ResultCode.values())
                .filter(c -> c != ResultCode.DONE)
                .map(c -> new Object[] {c})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "failures")
    public void aStartedRunIsNeverCalledNotRunUnlessTheUpstreamRefusedIt(ResultCode cause) {
        PointOfNoReturn point = new PointOfNoReturn();
        assertTrue(point.tryStart());
        ResultCode told = point.giveUp(Refusal.of(cause)).code();
        assertEquals(told.isNotRun(), cause == ResultCode.UPSTREAM_REFUSED, told.name());
        assertNotEquals(told.resultClass(), ResultClass.INTERNAL);
    }

    @Test(dataProvider = "failures")
    public void aRunThatIsGivenUpNeverStarts(ResultCode cause) {
        PointOfNoReturn point = new PointOfNoReturn();
        ResultCode told = point.giveUp(Refusal.of(cause)).code();
        assertFalse(point.tryStart());
        boolean earlierAttempt = cause == ResultCode.ATTEMPT_IN_PROGRESS
                || cause == ResultCode.OUTCOME_UNKNOWN
                || cause == ResultCode.OUTCOME_TOO_LARGE;
        assertEquals(told.isNotRun(), !earlierAttempt, told.name());
    }

    @Test
    public void startsOnce() {
        PointOfNoReturn point = new PointOfNoReturn();
        assertTrue(point.tryStart());
        assertFalse(point.tryStart());
    }
}
