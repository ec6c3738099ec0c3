package io.parsleycleat.gateway.request;

import static org.testng.Assert.assertEquals;

import io.parsleycleat.core.connection.caller.CallerLimits;
import io.parsleycleat.gateway.version.routes.Account;
import io.parsleycleat.gateway.version.routes.AdapterVersions;
import io.parsleycleat.gateway.version.routes.EngineSpec;
import io.parsleycleat.gateway.version.routes.ModelSpec;
import io.parsleycleat.gateway.version.routes.Route;
import io.parsleycleat.gateway.version.routes.ServiceShare;
import io.parsleycleat.gateway.version.routes.ServiceSpec;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Guards that it is decided, for each value of the configuration, which version counts for an accepted request. */
public class ConfigurationOfRequestTest {
    private static final Path PAGE = Path.of("..", "docs", "design", "configuration-of-a-request.md");
    private static final Pattern ROW = Pattern.compile("(?m)^\\| `(\\w+\\.\\w+)` \\| [^|]+ \\|");

    /** Guards against a new value of the configuration of which nobody has said which version counts. */
    @Test
    public void eachValueHasARow() throws IOException {
        TreeSet<String> rows = ROW.matcher(Files.readString(PAGE))
                .results()
                .map(MatchResult::group)
                .map(r -> r.split("`")[1])
                .collect(Collectors.toCollection(TreeSet::new));
        TreeSet<String> components = Stream.of(
                        Route.class,
                        ServiceShare.class,
                        ServiceSpec.class,
                        EngineSpec.class,
                        ModelSpec.class,
                        Account.class,
                        CallerLimits.class,
                        Upstream.class,
                        AdapterVersions.KnownVersion.class)
                .flatMap(type ->
                        Arrays.stream(type.getRecordComponents()).map(c -> type.getSimpleName() + "." + c.getName()))
                .collect(Collectors.toCollection(TreeSet::new));
        assertEquals(rows, components);
    }
}
