package io.parsleycleat.core.process.operators;

import com.google.protobuf.ByteString;
import io.grpc.Context;
import io.grpc.Contexts;
import io.grpc.Metadata;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerInterceptor;
import io.grpc.Status;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.version.configuration.ConfigurationSource;
import io.parsleycleat.core.version.configuration.ConfigurationView;
import io.parsleycleat.core.version.configuration.keys.KeyFormat;
import io.parsleycleat.core.version.configuration.keys.KeyVerdict;
import io.parsleycleat.core.version.configuration.keys.Keys;
import io.parsleycleat.wire.configuration.Key;
import java.util.HexFormat;
import java.util.Objects;
import java.util.Optional;

/**
 * Lets only holders of operator keys call. The first key's hash stands in the settings, the others are records.
 *
 * <p>Created once by the {@link OperatorsServer}'s process; safe to share between threads.
 */
public final class OperatorAuthentication implements ServerInterceptor {
    /** The call metadata that carries an operator's key. */
    public static final Metadata.Key<String> AUTHORIZATION =
            Metadata.Key.of("authorization", Metadata.ASCII_STRING_MARSHALLER);

    private static final Context.Key<KeyFormat> CALLER = Context.key("operator");

    private final ConfigurationSource source;
    private final ByteString firstKeyHash;

    /**
     * Creates an authentication.
     *
     * @param firstKeyHash the SHA-256 hash of the first operator key's secret part, in hexadecimal
     */
    public OperatorAuthentication(ConfigurationSource source, String firstKeyHash) {
        this.source = source;
        this.firstKeyHash = ByteString.copyFrom(HexFormat.of().parseHex(firstKeyHash));
    }

    /** Returns the key of the operator whose call is being handled. */
    static KeyFormat caller() {
        return Objects.requireNonNull(CALLER.get(), "not within an operator's call");
    }

    @Override
    public <Q, A> ServerCall.Listener<Q> interceptCall(
            ServerCall<Q, A> call, Metadata headers, ServerCallHandler<Q, A> next) {
        Optional<KeyFormat> key = Optional.ofNullable(headers.get(AUTHORIZATION))
                .flatMap(KeyFormat::parseBearer)
                .filter(this::isOperator);
        if (key.isPresent()) {
            return Contexts.interceptCall(Context.current().withValue(CALLER, key.get()), call, headers, next);
        }
        ResultCode code = ResultCode.OPERATOR_KEY_REFUSED;
        call.close(
                Status.UNAUTHENTICATED.withDescription(code.number() + " " + code.name() + ": " + code.meaning()),
                new Metadata());
        return new ServerCall.Listener<>() {};
    }

    private boolean isOperator(KeyFormat presented) {
        ConfigurationView view = source.current();
        if (presented.id().equals(Keys.FIRST_OPERATOR_ID)) {
            return Keys.matches(presented, firstKeyHash) && !view.isWithdrawn(presented.id());
        }
        return view.key(presented.id()).filter(Key::getOperator).isPresent()
                && KeyVerdict.of(view, presented) == KeyVerdict.VALID;
    }
}
