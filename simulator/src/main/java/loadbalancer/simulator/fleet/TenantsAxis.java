package loadbalancer.simulator.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import loadbalancer.limits.RateLimit;
import loadbalancer.limits.TokenBucketTree;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointListKind;
import loadbalancer.policy.EndpointState;
import loadbalancer.policy.JsqDasPolicy;
import loadbalancer.policy.PolicySettings;
import loadbalancer.settings.BootSettings;
import loadbalancer.settings.SettingsReader;
import loadbalancer.simulator.policies.NoOpActions;

/**
 * Tenants in the settings and in quotas: what reading them, the policy's books and the token buckets keep and cost, and
 * whether a balancer by the {@code run} line starts with them.
 */
final class TenantsAxis implements Axis {
    private static final int EACH = 3_000; // bytes here: settings as objects, text and values, the books
    private static final int NAMES = 1024;
    private static final long STEP = 200_000; // µs between wakes: each looks at all there is

    private final Axes.Setup setup;

    TenantsAxis(Axes.Setup setup) {
        this.setup = setup;
    }

    @Override
    public String name() {
        return "tenants";
    }

    @Override
    public Need need(long size) {
        return RealStart.need((200L << 20) + size * EACH);
    }

    @Override
    public ScalePoint measure(long size) throws IOException {
        Map<String, Double> figures = new TreeMap<>();
        List<String> missed = new ArrayList<>();
        figures.put(FleetRun.LOAD, Host.load());
        Map<String, Object> realms = Map.of(
                "Realms",
                IntStream.range(0, (int) size)
                        .mapToObj(i -> Map.of("Name", "tenant-" + i, "AllowancePerS", 2.0))
                        .toList());
        Map<String, Object> all = new HashMap<>(Site.settings(setup.plan().fleet(), 0, 1));
        all.putAll(realms);
        figures.put("settings_heap_per_tenant_bytes", Repeated.retained(() -> boot(all)) / size);
        figures.put("settings_read_ms", Repeated.millis(() -> boot(all)));
        PolicySettings settings = boot(all).policySettings();
        figures.put("module_heap_per_tenant_bytes", Repeated.retained(() -> new JsqDasPolicy(settings, 1)) / size);
        JsqDasPolicy module = new JsqDasPolicy(settings, 1);
        NoOpActions out = new NoOpActions();
        module.endpoints(1, EndpointListKind.CACHED, List.of(new Endpoint("a", EndpointState.UP, 0, 1, 0, 0, 0)), out);
        long[] now = {1};
        figures.put(
                "module_wake_us",
                Repeated.millis(() -> {
                            for (int i = 0; i < 100; i++) {
                                module.wake(now[0] += STEP, out);
                            }
                            return module;
                        })
                        * 1e3
                        / 100);
        int[] same = IntStream.range(0, (int) size).toArray();
        figures.put("module_reconfigure_ms", Repeated.millis(() -> {
            module.reconfigure(now[0], settings, new int[] {0}, same);
            return module;
        }));
        RateLimit rate = new RateLimit(1e9, 1e6, 1e9);
        figures.put("quotas_heap_per_tenant_bytes", Repeated.retained(() -> quotas(size, rate)) / size);
        TokenBucketTree tree = quotas(size, rate);
        String[] names =
                IntStream.range(0, NAMES).mapToObj(i -> "t" + i * 7919L % size).toArray(String[]::new);
        int[] next = {0};
        figures.put(
                "quota_take_ns",
                Repeated.nanos(() -> tree.tryTake(now[0]++, names[next[0] = next[0] + 1 & NAMES - 1])));
        RealStart.measure(setup, realms, Map.of(), size + " tenants", figures, missed);
        return new ScalePoint(name(), size, figures, missed);
    }

    private static BootSettings boot(Map<String, Object> settings) {
        Map<String, String> flat = new HashMap<>();
        SettingsReader.flatten("", settings, flat);
        return SettingsReader.read(flat, (path, what) -> new IllegalStateException(path + ": " + what));
    }

    private static TokenBucketTree quotas(long size, RateLimit rate) {
        TokenBucketTree tree = new TokenBucketTree("site", rate);
        for (int i = 0; i < size; i++) {
            tree.add("site", "t" + i, rate);
        }
        return tree;
    }
}
