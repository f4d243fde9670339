package loadbalancer.simulator.fleet;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** All axes that there are; a new one is one line here. */
public final class Axes {
    private static final Map<String, Maker> MAKERS = new LinkedHashMap<>();

    static {
        MAKERS.put("balancers", BalancersAxis::new);
        MAKERS.put("upstreams", UpstreamsAxis::new);
        MAKERS.put("real_upstreams", RealUpstreamsAxis::new);
        MAKERS.put("routes", RoutesAxis::new);
        MAKERS.put("tenants", TenantsAxis::new);
    }

    /**
     * What an axis is made with.
     *
     * @param plan what stands at each size, unless the axis says otherwise
     * @param root of the project, where run lines start
     */
    public record Setup(FleetPlan plan, Path root) {}

    private interface Maker {
        Axis make(Setup setup) throws IOException;
    }

    private Axes() {}

    /** Their names. */
    public static List<String> names() {
        return List.copyOf(MAKERS.keySet());
    }

    /**
     * The axis of that name.
     *
     * @throws IllegalArgumentException where there is none
     * @throws IOException where what it needs can't be read
     */
    public static Axis of(String name, Setup setup) throws IOException {
        Maker maker = MAKERS.get(name);
        if (maker == null) {
            throw new IllegalArgumentException("no axis '" + name + "'; there are " + String.join(", ", names()));
        }
        return maker.make(setup);
    }
}
