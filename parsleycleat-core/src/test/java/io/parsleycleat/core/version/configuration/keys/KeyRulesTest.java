package io.parsleycleat.core.version.configuration.keys;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.version.configuration.ConfigurationState;
import io.parsleycleat.wire.configuration.Account;
import io.parsleycleat.wire.configuration.Adapter;
import io.parsleycleat.wire.configuration.ItemKind;
import io.parsleycleat.wire.configuration.Key;
import io.parsleycleat.wire.configuration.Route;
import io.parsleycleat.wire.configuration.Snapshot;
import io.parsleycleat.wire.configuration.VersionedItem;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class KeyRulesTest {
    private static final KeyFormat PRESENTED = Keys.newKey("k1");
    private static final Key ONE = key("k1", "one");
    private static final Key TWO = key("k2", "two");

    private static final ConfigurationState VIEW = ConfigurationState.of(Snapshot.newBuilder()
            .addItems(item(ItemKind.ITEM_KIND_KEY, "k1").setKey(ONE))
            .addItems(account("one"))
            .addItems(account("two"))
            .addItems(account("free"))
            .addItems(adapter("own", "one"))
            .addItems(adapter("shared", ""))
            .addItems(adapter("opened", "one"))
            .addItems(route(Route.newBuilder().setId("private").setService("s").addAccountIds("one")))
            .addItems(route(Route.newBuilder().setId("common").setService("s")))
            .addItems(route(Route.newBuilder().setId("to-own").setAdapterId("own")))
            .addItems(route(Route.newBuilder()
                    .setId("open")
                    .setAdapterId("opened")
                    .setOpenToAll(true)
                    .setUnkeyedAccountId("free")))
            .build());

    private static VersionedItem.Builder item(ItemKind kind, String id) {
        return VersionedItem.newBuilder().setKind(kind).setId(id).setVersion(1);
    }

    private static Key key(String id, String account) {
        return Key.newBuilder()
                .setId(id)
                .setAccountId(account)
                .setSecretHash(Keys.hash(PRESENTED))
                .build();
    }

    private static VersionedItem.Builder account(String id) {
        return item(ItemKind.ITEM_KIND_ACCOUNT, id)
                .setAccount(Account.newBuilder().setId(id));
    }

    private static VersionedItem.Builder adapter(String id, String owner) {
        return item(ItemKind.ITEM_KIND_ADAPTER, id)
                .setAdapter(Adapter.newBuilder().setId(id).setOwnerAccountId(owner));
    }

    private static VersionedItem.Builder route(Route.Builder route) {
        return item(ItemKind.ITEM_KIND_ROUTE, route.getId()).setRoute(route);
    }

    @DataProvider
    public Object[][] routes() {
        return new Object[][] {
            {ONE, "private", "one"},
            {ONE, "common", "one"},
            {ONE, "to-own", "one"},
            {TWO, "private", "ROUTE_UNKNOWN"},
            {TWO, "to-own", "ROUTE_UNKNOWN"},
            {TWO, "none", "ROUTE_UNKNOWN"},
            {TWO, "common", "two"},
            {TWO, "open", "two"},
            {null, "open", "free"},
            {null, "common", "KEY_MISSING"},
            {null, "none", "KEY_MISSING"},
        };
    }

    @Test(dataProvider = "routes")
    public void aRouteIsForItsAccounts(Key key, String route, String expected) {
        String got = AccessRules.route(VIEW, key, route)
                .fold(r -> r.code().name(), a -> a.account().getId());
        assertEquals(got, expected);
    }

    @DataProvider
    public Object[][] adapters() {
        return new Object[][] {
            {ONE, "own", "one"},
            {ONE, "shared", "one"},
            {TWO, "own", "ADAPTER_UNKNOWN"},
            {TWO, "none", "ADAPTER_UNKNOWN"},
            {TWO, "shared", "two"},
            {TWO, "opened", "two"},
            {null, "opened", "free"},
            {null, "shared", "KEY_MISSING"},
            {null, "own", "KEY_MISSING"},
        };
    }

    @Test(dataProvider = "adapters")
    public void anAdapterIsForItsOwnerOrShared(Key key, String adapter, String expected) {
        String got = AccessRules.adapter(VIEW, key, adapter)
                .fold(r -> r.code().name(), a -> a.account().getId());
        assertEquals(got, expected);
    }

    @Test
    public void foreignAndUnknownAdaptersAreAnsweredAlike() {
        Refusal foreign = AccessRules.adapter(VIEW, TWO, "own").getLeft();
        assertEquals(foreign, AccessRules.adapter(VIEW, TWO, "none").getLeft());
    }

    @Test
    public void onlyTheRightSecretIsAccepted() {
        assertEquals(KeyVerdict.of(VIEW, PRESENTED), KeyVerdict.VALID);
        assertEquals(KeyVerdict.of(VIEW, Keys.newKey("k1")), KeyVerdict.UNKNOWN);
        assertEquals(KeyVerdict.of(VIEW, Keys.newKey("k9")), KeyVerdict.UNKNOWN);
    }

    @Test
    public void aKeysTextIsReadBackAndItsSecretIsNotPrinted() {
        assertEquals(KeyFormat.parse(PRESENTED.text()).orElseThrow(), PRESENTED);
        assertEquals(KeyFormat.parseBearer("bearer " + PRESENTED.text()).orElseThrow(), PRESENTED);
        assertFalse(PRESENTED.toString().contains(PRESENTED.secret()));
        assertTrue(KeyFormat.parse(PRESENTED.text() + "x").isEmpty());
        assertTrue(KeyFormat.parse("plc-k1").isEmpty());
    }

    @Test
    public void aRepeatDerivesTheSameKeyAndAnotherChangeAnotherOne() {
        KeyFormat operator = Keys.newKey(Keys.FIRST_OPERATOR_ID);
        assertEquals(Keys.derive(operator, "c1"), Keys.derive(operator, "c1"));
        assertNotEquals(
                Keys.derive(operator, "c1").id(), Keys.derive(operator, "c2").id());
        assertNotEquals(
                Keys.derive(operator, "c1").secret(),
                Keys.derive(Keys.newKey("o"), "c1").secret());
        assertEquals(ResultCode.KEY_UNKNOWN, KeyVerdict.UNKNOWN.code());
    }
}
