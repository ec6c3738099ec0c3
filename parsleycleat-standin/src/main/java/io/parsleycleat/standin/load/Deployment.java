package io.parsleycleat.standin.load;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;

/**
 * The size of a deployment. Immutable.
 *
 * @param engines model engines
 * @param services instances of the plain service
 * @param service name of the plain service
 * @param loadsPerSecond what the weight store allows
 * @param requestsPerSecond offered by all accounts, each inside its rate but the overloading one
 */
public record Deployment(
        String name,
        String region,
        List<String> dataCentres,
        int engines,
        int services,
        String service,
        double loadsPerSecond,
        double requestsPerSecond) {
    /** Eight engines, four order apps, three loads a second, four data centres. */
    public static final Deployment MEKDES =
            new Deployment("mekdes", "addis", List.of("bole", "arada", "kirkos", "yeka"), 8, 4, "orders", 3, 9);

    /** Six engines, three booking apps, two loads a second, three data centres. */
    public static final Deployment SCHIEFERPFAD = new Deployment(
            "schieferpfad", "bavaria", List.of("eichstaett", "solnhofen", "treuchtlingen"), 6, 3, "bookings", 2, 5);

    public Deployment {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(region, "region");
        dataCentres = List.copyOf(dataCentres);
        Objects.requireNonNull(service, "service");
        if (dataCentres.isEmpty() || engines < 1 || services < 1 || loadsPerSecond <= 0 || requestsPerSecond <= 0) {
            throw new IllegalArgumentException("sizes must be positive");
        }
    }

    /** Returns the deployment with a name. */
    public static Optional<Deployment> ofName(String name) {
        return Arrays.asList(MEKDES, SCHIEFERPFAD).stream()
                .filter(d -> d.name().equals(name.toLowerCase(Locale.ROOT)))
                .findFirst();
    }

    /** Returns the data centre of the VM with a number. */
    public String dataCentre(int index) {
        return dataCentres.get(index % dataCentres.size());
    }
}
