package io.parsleycleat.core.version.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import io.parsleycleat.wire.configuration.Change;
import io.parsleycleat.wire.configuration.ChangeResult;
import io.parsleycleat.wire.configuration.ItemKind;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ConfigurationStateTest {
    private static final ByteString HASH = ByteString.copyFrom(new byte[ChangeRules.HASH_BYTES]);

    private static ConfigurationState fold(List<Change> changes) {
        ConfigurationState state = ConfigurationState.EMPTY;
        for (int i = 0; i < changes.size(); i++) {
            state = state.apply(i, Changes.record(changes.get(i)));
        }
        return state;
    }

    private static ChangeResult result(ConfigurationState state, String changeId) {
        return state.result(changeId).orElseThrow().getResult();
    }

    @Test
    public void theFirstOfTwoRacingChangesWins() {
        ConfigurationState state = fold(List.of(
                Changes.account("c1", "a", 0, 10),
                Changes.account("c2", "a", 1, 20),
                Changes.account("c3", "a", 1, 30)));
        assertEquals(result(state, "c2"), ChangeResult.CHANGE_RESULT_ACCEPTED);
        assertEquals(result(state, "c3"), ChangeResult.CHANGE_RESULT_CONFLICT);
        assertEquals(state.account("a").orElseThrow().getTokensPerSecond(), 20.0);
        assertEquals(state.itemVersion(new ItemId(ItemKind.ITEM_KIND_ACCOUNT, "a")), 2);
    }

    @Test
    public void aRepeatedChangeIdChangesNothing() {
        Change removal = Changes.removal("c2", ItemKind.ITEM_KIND_ACCOUNT, "a", 1);
        Change create = Changes.account("c1", "a", 0, 10);
        ConfigurationState state = fold(List.of(create, removal, create));
        assertTrue(state.account("a").isEmpty(), "the repeat of the creation brought the account back");
        assertEquals(state.version(), 3);
    }

    @Test
    public void aWithdrawalNeedsNoOrderAndIsFinal() {
        Change issue = Changes.key("c2", "k", "a", HASH);
        ConfigurationState state =
                fold(List.of(Changes.account("c1", "a", 0, 10), Changes.withdrawal("c3", "k"), issue));
        assertTrue(state.isWithdrawn("k"));
        assertEquals(result(state, "c2"), ChangeResult.CHANGE_RESULT_INVALID);
    }

    @DataProvider
    public Object[][] invalidChanges() {
        return new Object[][] {
            {Changes.account("c", "bad id!", 0, 10), "the id is not of the form"},
            {Changes.account("c", "b", 0, 0), "the rate"},
            {Changes.account("c", "b", 0, Double.NaN), "the rate"},
            {Changes.account("", "b", 0, 10), "the change id"},
            {Changes.key("c", "k", "nobody", HASH), "no such account"},
            {Changes.key("c", "k", "a", ByteString.EMPTY), "SHA-256"},
            {Changes.adapter("c", "x", "nobody"), "no such owner"},
            {Changes.adapter("c", "x", "").toBuilder().setItemId("y").build(), "another id"},
            {
                Changes.adapter("c", "x", "").toBuilder()
                        .setKind(ItemKind.ITEM_KIND_ROUTE)
                        .build(),
                "not of the kind"
            },
            {Changes.removal("c", ItemKind.ITEM_KIND_ACCOUNT, "a", 1), "an adapter belongs"},
        };
    }

    @Test(dataProvider = "invalidChanges")
    public void anInvalidChangeIsRefusedWithItsFault(Change change, String part) {
        ConfigurationState before = fold(List.of(Changes.account("c1", "a", 0, 10), Changes.adapter("c2", "own", "a")));
        ConfigurationState state = before.apply(2, Changes.record(change));
        var entry = state.result(change.getChangeId()).orElseThrow();
        assertEquals(entry.getResult(), ChangeResult.CHANGE_RESULT_INVALID);
        assertTrue(entry.getDetail().contains(part), entry.getDetail());
        assertEquals(state.toSnapshot().getItemsList(), before.toSnapshot().getItemsList());
    }

    @Test
    public void aSnapshotHoldsTheWholeState() {
        ConfigurationState state = fold(randomChanges(new Random(11), 300));
        ConfigurationState copy = ConfigurationState.of(state.toSnapshot());
        assertEquals(copy.toSnapshot(), state.toSnapshot());
        Change next = Changes.account("next", "a1", 0, 5);
        assertEquals(
                copy.apply(300, Changes.record(next)).toSnapshot(),
                state.apply(300, Changes.record(next)).toSnapshot());
    }

    @Test
    public void onlyRecentChangeIdsAreKept() {
        int count = ConfigurationState.RECENT_CHANGES + 10;
        List<Change> changes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            changes.add(Changes.account("c" + i, "a" + i % 7, 0, 1));
        }
        ConfigurationState state = fold(changes);
        assertEquals(state.toSnapshot().getRecentCount(), ConfigurationState.RECENT_CHANGES);
        assertEquals(state.recentFloor(), 10);
        assertEquals(state.recentFrom(count - 3).size(), 3);
        assertFalse(state.result("c9").isPresent());
    }

    static List<Change> randomChanges(Random random, int count) {
        List<Change> changes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String id = "a" + random.nextInt(5);
            long expected = random.nextInt(4) == 0 ? 0 : random.nextInt(i + 1);
            changes.add(
                    switch (random.nextInt(6)) {
                        case 0 -> Changes.removal("c" + i, ItemKind.ITEM_KIND_ACCOUNT, id, expected);
                        case 1 -> Changes.key("c" + i, "k" + random.nextInt(20), id, HASH);
                        case 2 -> Changes.withdrawal("c" + i, "k" + random.nextInt(20));
                        case 3 -> Changes.adapter("c" + i, "x" + random.nextInt(5), id);
                        case 4 -> i == 0 ? Changes.account("c0", id, 0, 1) : changes.get(random.nextInt(i));
                        default -> Changes.account("c" + i, id, expected, 1 + random.nextInt(100));
                    });
        }
        return changes;
    }
}
