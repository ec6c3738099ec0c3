package io.parsleycleat.core.request.routing;

import io.parsleycleat.core.connection.peer.PeerChannel;
import io.parsleycleat.core.connection.peer.PeerClient;
import io.parsleycleat.core.connection.platform.Vm;
import io.parsleycleat.core.process.identity.ProcessRole;
import io.parsleycleat.core.process.membership.Membership;
import io.parsleycleat.core.process.result.PeerException;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.version.configuration.ConfigurationSource;
import io.parsleycleat.core.version.configuration.ConfigurationView;
import io.parsleycleat.wire.configuration.Upstream;
import io.parsleycleat.wire.configuration.UpstreamKind;
import io.parsleycleat.wire.peer.Frame;
import io.parsleycleat.wire.routing.ProbeAnswer;
import io.parsleycleat.wire.routing.RoutingMessage;
import io.parsleycleat.wire.routing.SlotState;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Sides that answer probes as a test says. Every fourth upstream is in a region of its own. */
final class FakeFleet implements PeerClient, ConfigurationSource {
    final MovableTime time = new MovableTime();
    final List<Vm> vms = new ArrayList<>();
    final Map<String, ProbeAnswer> answers = new LinkedHashMap<>();
    final Map<String, Supplier<CompletableFuture<Frame>>> special = new LinkedHashMap<>();
    final List<String> probed = new ArrayList<>();
    final Membership membership = new Membership(() -> CompletableFuture.completedFuture(List.copyOf(vms)), time);
    private final Map<String, Upstream> upstreams = new LinkedHashMap<>();
    private final ConfigurationView view = (ConfigurationView) Proxy.newProxyInstance(
            ConfigurationView.class.getClassLoader(),
            new Class<?>[] {ConfigurationView.class},
            (proxy, method, arguments) -> {
                if (!method.getName().equals("upstream")) {
                    throw new UnsupportedOperationException(method.getName());
                }
                return Optional.ofNullable(upstreams.get((String) arguments[0]));
            });

    void addEngine(String id, String region) {
        add(
                id,
                region,
                Upstream.newBuilder()
                        .setKind(UpstreamKind.UPSTREAM_KIND_MODEL_ENGINE)
                        .setBaseModel("base"));
    }

    void addService(String id) {
        add(
                id,
                "r",
                Upstream.newBuilder()
                        .setKind(UpstreamKind.UPSTREAM_KIND_PLAIN_SERVICE)
                        .setService("orders"));
    }

    private void add(String id, String region, Upstream.Builder upstream) {
        upstreams.put(id, upstream.setId(id).build());
        vms.add(new Vm("vm-" + id, ProcessRole.SIDE, id, "dc", region, id, false));
        answers.put(
                id,
                ProbeAnswer.newBuilder()
                        .setUpstreamId(id)
                        .setSideIncarnation(1)
                        .setReachable(true)
                        .setFreePlaces(4)
                        .setWaitPerRunMillis(1000)
                        .setExpectedLoadMillis(300)
                        .build());
        membership.refresh();
    }

    void setLeaving(String id) {
        vms.replaceAll(vm -> vm.upstreamId().equals(id)
                ? new Vm(vm.name(), vm.role(), vm.peerAddress(), vm.dataCentre(), vm.region(), id, true)
                : vm);
        membership.refresh();
    }

    void change(String id, Consumer<ProbeAnswer.Builder> change) {
        ProbeAnswer.Builder builder = answers.get(id).toBuilder();
        change.accept(builder);
        answers.put(id, builder.build());
    }

    void setLoaded(String id, int waitMillis) {
        change(id, a -> a.setAdapter(SlotState.SLOT_STATE_LOADED)
                .setExpectedLoadMillis(0)
                .setExpectedWaitMillis(waitMillis));
    }

    static Frame frame(ProbeAnswer answer) {
        return Frame.newBuilder()
                .setRouting(RoutingMessage.newBuilder().setAnswer(answer))
                .build();
    }

    static CompletableFuture<Frame> timeout() {
        return CompletableFuture.failedFuture(new PeerException(ResultCode.PEER_TIMEOUT, "test", "side"));
    }

    @Override
    public CompletableFuture<Frame> request(String peerAddress, Frame.Builder frame, Duration timeout) {
        probed.add(peerAddress);
        Supplier<CompletableFuture<Frame>> answer = special.get(peerAddress);
        return answer == null ? CompletableFuture.completedFuture(frame(answers.get(peerAddress))) : answer.get();
    }

    @Override
    public void send(String peerAddress, Frame.Builder frame) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<PeerChannel> connect(String peerAddress) {
        throw new UnsupportedOperationException();
    }

    @Override
    public ConfigurationView current() {
        return view;
    }

    @Override
    public boolean isReady() {
        return true;
    }

    @Override
    public void onChange(Consumer<ConfigurationView> listener) {
        listener.accept(view);
    }
}
