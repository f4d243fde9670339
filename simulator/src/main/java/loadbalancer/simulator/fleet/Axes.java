package loadbalancer.simulator.fleet;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** All axes that there are; a new one is one line here. */
public final class Axes {
    private static final Map<String, AxisFactory> FACTORIES = new LinkedHashMap<>();

    static {
        FACTORIES.put("balancers", BalancersAxis::new);
        FACTORIES.put("upstreams", UpstreamsAxis::new);
        FACTORIES.put("real_upstreams", RealUpstreamsAxis::new);
        FACTORIES.put("routes", RoutesAxis::new);
        FACTORIES.put("tenants", TenantsAxis::new);
    }

    /**
     * What an axis is made with.
     *
     * @param plan what stands at each size, unless the axis says otherwise
     * @param root of the project, where run lines start
     */
    public record Setup(FleetPlan plan, Path root) {}

    private interface AxisFactory {
        Axis create(Setup setup) throws IOException;
    }

    private Axes() {}

    /** Their names. */
    public static List<String> names() {
        return List.copyOf(FACTORIES.keySet());
    }

    /**
     * The axis of that name.
     *
     * @throws IllegalArgumentException where there is none
     * @throws IOException where what it needs can't be read
     */
    public static Axis of(String name, Setup setup) throws IOException {
        AxisFactory factory = FACTORIES.get(name);
        if (factory == null) {
            throw new IllegalArgumentException("no axis '" + name + "'; there are " + String.join(", ", names()));
        }
        return factory.create(setup);
    }
}
