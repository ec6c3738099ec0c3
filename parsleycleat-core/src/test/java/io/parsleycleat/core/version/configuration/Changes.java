package io.parsleycleat.core.version.configuration;

import com.google.protobuf.ByteString;
import io.parsleycleat.wire.configuration.Account;
import io.parsleycleat.wire.configuration.Adapter;
import io.parsleycleat.wire.configuration.Change;
import io.parsleycleat.wire.configuration.ConfigurationRecord;
import io.parsleycleat.wire.configuration.ItemKind;
import io.parsleycleat.wire.configuration.Key;
import io.parsleycleat.wire.configuration.Route;

/** Changes for tests. */
final class Changes {
    private Changes() {}

    static Change account(String changeId, String id, long expected, double rate) {
        return Change.newBuilder()
                .setChangeId(changeId)
                .setKind(ItemKind.ITEM_KIND_ACCOUNT)
                .setItemId(id)
                .setExpectedVersion(expected)
                .setAccount(Account.newBuilder()
                        .setId(id)
                        .setTokensPerSecond(rate)
                        .setBurstTokens(rate)
                        .setWeight(1))
                .build();
    }

    static Change key(String changeId, String id, String account, ByteString hash) {
        return Change.newBuilder()
                .setChangeId(changeId)
                .setKind(ItemKind.ITEM_KIND_KEY)
                .setItemId(id)
                .setKey(Key.newBuilder().setId(id).setAccountId(account).setSecretHash(hash))
                .build();
    }

    static Change withdrawal(String changeId, String keyId) {
        return removal(changeId, ItemKind.ITEM_KIND_KEY, keyId, 0);
    }

    static Change removal(String changeId, ItemKind kind, String id, long expected) {
        return Change.newBuilder()
                .setChangeId(changeId)
                .setKind(kind)
                .setItemId(id)
                .setExpectedVersion(expected)
                .setRemoval(true)
                .build();
    }

    static Change adapter(String changeId, String id, String owner) {
        return Change.newBuilder()
                .setChangeId(changeId)
                .setKind(ItemKind.ITEM_KIND_ADAPTER)
                .setItemId(id)
                .setAdapter(Adapter.newBuilder()
                        .setId(id)
                        .setBaseModel("base")
                        .setOwnerAccountId(owner)
                        .addVersions("1")
                        .setCurrentVersion("1"))
                .build();
    }

    static Change route(String changeId, Route route) {
        return Change.newBuilder()
                .setChangeId(changeId)
                .setKind(ItemKind.ITEM_KIND_ROUTE)
                .setItemId(route.getId())
                .setRoute(route)
                .build();
    }

    static ConfigurationRecord record(Change change) {
        return ConfigurationRecord.newBuilder().setChange(change).build();
    }
}
