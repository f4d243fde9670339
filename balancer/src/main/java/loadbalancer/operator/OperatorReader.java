package loadbalancer.operator;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import loadbalancer.limits.ConcurrencyLimitConfig;
import loadbalancer.limits.LimitAlgorithm;
import loadbalancer.limits.RateLimit;
import loadbalancer.router.Destination;
import loadbalancer.router.PoolConfig;
import loadbalancer.router.QuotaConfig;
import loadbalancer.router.RetryAfterBounds;
import loadbalancer.router.RetryBudgetConfig;
import loadbalancer.router.RouteConfig;
import loadbalancer.router.RoutingConfig;
import loadbalancer.router.SpillTarget;
import loadbalancer.router.TenantQuotaConfig;
import loadbalancer.routes.PathTemplate;
import loadbalancer.routes.Route;
import loadbalancer.settings.SocketAddresses;
import loadbalancer.toml.Faults;
import loadbalancer.toml.Section;
import loadbalancer.toml.Section.Measure;
import loadbalancer.toml.Source;
import loadbalancer.toml.Units;

/** Reads operator files, strictly: all faults are listed, and a file with any binds nothing. */
public final class OperatorReader {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9_.-]{0,63}");
    private static final Pattern TOKEN = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+"); // RFC 9110, section 5.6.2
    private static final double MOST_RATE = 1e9;
    private static final double ADVICE_LEAST = 100_000;
    private static final double ADVICE_MOST = 1_500_000;
    private static final double SPARE = 1.2;
    private static final double RETURN = 0.05;
    private static final double WINDOW = 10e6;
    private static final int QUEUE = 1024;

    private final OperatorConfig.Site site;
    private final List<String> notes = new ArrayList<>();
    private final Map<String, String> poolPlaces = new LinkedHashMap<>();
    private final Map<String, String> routePlaces = new LinkedHashMap<>();

    private OperatorReader(OperatorConfig.Site site) {
        this.site = site;
    }

    /**
     * Reads {@code file}.
     *
     * @throws Faults with all that is wrong with it, one line each: {@code FILE:LINE: what}
     */
    public static OperatorConfig read(Path file, OperatorConfig.Site site) throws IOException {
        Source source = Source.read(file);
        try {
            return new OperatorReader(site).read(source);
        } catch (IllegalArgumentException e) {
            source.check(); // its faults explain it better than what they led to
            throw e;
        }
    }

    private OperatorConfig read(Source source) {
        Section root = new Section(source, source.tree(), "");
        List<PoolSpec> specs = new ArrayList<>();
        List<PoolConfig> pools = new ArrayList<>();
        for (Section s : root.tables("pool")) {
            pool(s, specs, pools);
        }
        if (!poolPlaces.containsKey(PoolSpec.SITE)) {
            poolPlaces.put(PoolSpec.SITE, "");
            specs.add(new PoolSpec(PoolSpec.SITE, null, List.of(), 0, 0, PoolSpec.Overrides.NONE));
            pools.add(new PoolConfig(PoolSpec.SITE, null, 0));
        }
        List<RouteConfig> routes = new ArrayList<>();
        for (Section s : root.tables("route")) {
            RouteConfig r = route(s, routes);
            if (r != null) {
                routes.add(r);
            }
        }
        Section front = root.table("front");
        String unmatched = front.text("unmatched", PoolSpec.SITE);
        if (unmatched.equals("refuse")) {
            unmatched = null;
        } else {
            known(front, "unmatched", "pool", unmatched, poolPlaces.keySet());
        }
        boolean told = front.has("instances");
        int instances = (int) front.number("instances", Measure.COUNT, site.instances());
        double reserve = front.number("reserve", Measure.SHARE, 0);
        if (reserve >= 1) {
            front.fault("reserve", "'reserve' is " + reserve + ": all of a limit kept leaves none to the cheapest");
        }
        RetryAfterBounds advice = advice(front);
        front.done();
        QuotaConfig quotas = quotas(root);
        OperatorConfig.LogPlan log = log(root);
        root.done();
        source.check();
        return new OperatorConfig(
                new RoutingConfig(pools, routes, unmatched, quotas, instances, reserve, advice),
                specs,
                told ? instances : null,
                log,
                notes);
    }

    // ---- pools

    private void pool(Section s, List<PoolSpec> specs, List<PoolConfig> plans) {
        String name = name(s, "pool", poolPlaces);
        boolean own = name.equals(PoolSpec.SITE);
        InetSocketAddress discovery = s.has("discovery") ? address(s, "discovery", s.text("discovery", null)) : null;
        List<InetSocketAddress> upstreams = new ArrayList<>();
        for (String u : s.texts("upstreams", List.of())) {
            InetSocketAddress a = address(s, "upstreams", u);
            if (a != null && upstreams.contains(a)) {
                s.fault("upstreams", "upstream '" + u + "' is listed twice");
            } else if (a != null) {
                upstreams.add(a);
            }
        }
        if (own && (s.has("discovery") || s.has("upstreams"))) {
            s.fault(
                    s.has("discovery") ? "discovery" : "upstreams",
                    "pool 'site' has the platform's own list: give another pool a name of its own");
        } else if (s.has("discovery") && s.has("upstreams")) {
            s.fault("upstreams", "pool '" + name + "' has both 'discovery' and 'upstreams': one is wanted");
        } else if (!own && !s.has("discovery") && !s.has("upstreams")) {
            s.fault("name", "pool '" + name + "' has no list: 'discovery' or 'upstreams' is wanted");
        }
        int full = s.has("full_strength") ? (int) s.number("full_strength", Measure.COUNT) : 0;
        int connections = s.has("connections") ? (int) s.number("connections", Measure.COUNT) : 0;
        Double memory = s.figure("memory", Units.SIZE);
        ConcurrencyLimitConfig limit = s.has("limit") ? limit(s.table("limit")) : null;
        PoolSpec.Overrides settings = PoolSpec.Overrides.NONE;
        if (s.has("settings")) {
            Section o = s.table("settings");
            if (own) {
                s.fault("settings", "pool 'site' has the platform's own settings");
            }
            settings = new PoolSpec.Overrides(
                    o.has("max_attempts") ? (int) o.number("max_attempts", Measure.COUNT) : null,
                    whole(positive(o, "connect_timeout")),
                    whole(positive(o, "idle_close")),
                    o.has("probes") ? o.flag("probes", false) : null);
            o.done();
        }
        s.done();
        specs.add(new PoolSpec(
                name, discovery, upstreams, connections, memory == null ? 0 : memory.longValue(), settings));
        plans.add(new PoolConfig(name, limit, full));
    }

    private static Double positive(Section s, String key) {
        Double time = s.figure(key, Units.TIME);
        if (time != null && time <= 0) {
            s.fault(key, "'" + key + "' is nothing: a time over 0 is wanted");
            return null;
        }
        return time;
    }

    private static Long whole(Double figure) {
        return figure == null ? null : Long.valueOf(Math.round(figure));
    }

    private static ConcurrencyLimitConfig limit(Section s) {
        LimitAlgorithm kind = s.word("kind", LimitAlgorithm.class, null);
        if (!kind.name().equalsIgnoreCase(s.text("kind", ""))) {
            return null; // at fault: what else is wanted goes by the kind
        }
        ConcurrencyLimitConfig plan = null;
        if (kind == LimitAlgorithm.FIXED) {
            int most = (int) s.number("most", Measure.NUMBER);
            plan = ConcurrencyLimitConfig.fixed(Math.max(0, most));
        } else {
            int least = (int) s.number("least", Measure.COUNT, 1);
            int most = (int) s.number("most", Measure.COUNT, 10_000);
            int start = (int) s.number("start", Measure.COUNT, Math.max(least, Math.min(most, 20)));
            if (least > most) {
                s.fault("least", "'least' is " + least + ", over 'most', which is " + most);
            } else if (start < least || start > most) {
                s.fault("start", "'start' is " + start + ", not between 'least' and 'most', " + least + " and " + most);
            } else {
                plan = new ConcurrencyLimitConfig(kind, start, least, most);
            }
        }
        s.done();
        return plan;
    }

    private static InetSocketAddress address(Section s, String key, String text) {
        try {
            return SocketAddresses.address(text);
        } catch (IllegalArgumentException e) {
            s.fault(key, "'" + key + "': " + e.getMessage());
            return null;
        }
    }

    // ---- routes

    private RouteConfig route(Section s, List<RouteConfig> before) {
        String name = name(s, "route", routePlaces);
        String path = s.text("path", null);
        PathTemplate template = null;
        try {
            template = PathTemplate.of(path);
        } catch (IllegalArgumentException e) {
            if (!path.isEmpty()) {
                s.fault("path", e.getMessage());
            }
        }
        Set<String> methods = new LinkedHashSet<>(s.texts("methods", List.of()));
        for (String m : methods) {
            if (!TOKEN.matcher(m).matches() || !m.equals(m.toUpperCase(Locale.ROOT))) {
                s.fault("methods", "'" + m + "' is no method: such as \"GET\"");
            }
        }
        Map<String, String> headers = headers(s);
        Set<String> tenants = names(s, "tenants", "tenant", site.tenants());
        Set<String> classes = names(s, "classes", "class", site.classes());
        List<SpillTarget> spills = spills(s);
        List<Destination> ways = ways(s, name, spills);
        double spare = s.number("spare", Measure.NUMBER, SPARE);
        if (spare < 1) {
            s.fault("spare", "'spare' is " + spare + ": 1 or more is wanted");
        }
        double back = s.number("return_per_s", Measure.SHARE, RETURN);
        if (back <= 0) {
            s.fault("return_per_s", "'return_per_s' is 0: traffic would never come back");
        }
        RetryBudgetConfig retries = s.has("retries") ? retries(s.table("retries")) : null;
        RateLimit rate = s.has("rate") ? rate(s.table("rate")) : null;
        Double deadline = positive(s, "deadline");
        s.done();
        if (template == null || ways.isEmpty() || spare < 1 || back <= 0) {
            return null;
        }
        Route match = new Route(name, template, methods, headers, tenants, classes, before.size());
        for (RouteConfig other : before) {
            Route o = other.route();
            if (!o.name().equals(name)
                    && o.path().equals(template)
                    && o.methods().equals(match.methods())
                    && o.headers().equals(match.headers())
                    && o.tenants().equals(match.tenants())
                    && o.classes().equals(match.classes())) {
                s.fault(
                        "name",
                        "route '" + name + "' never takes a request: route '" + o.name() + "' ("
                                + routePlaces.get(o.name()) + ") asks for the same");
            }
        }
        return new RouteConfig(match, ways, spare, back, retries, rate, deadline == null ? 0 : Math.round(deadline));
    }

    private static Map<String, String> headers(Section s) {
        Map<String, String> headers = new LinkedHashMap<>();
        if (!s.has("headers")) {
            return headers;
        }
        Section h = s.table("headers");
        Set<String> seen = new LinkedHashSet<>();
        for (String header : h.keys()) {
            headers.put(header, h.text(header, null));
            if (!TOKEN.matcher(header).matches()) {
                h.fault(header, "'" + header + "' is no name of a header");
            } else if (!seen.add(header.toLowerCase(Locale.ROOT))) {
                h.fault(header, "header '" + header + "' is named twice: case doesn't count");
            }
        }
        return headers;
    }

    private List<SpillTarget> spills(Section s) {
        List<SpillTarget> spills = new ArrayList<>();
        for (Object item : s.items("spill")) {
            String pool;
            double most = 1;
            if (item instanceof Section t) {
                pool = t.text("pool", null);
                most = t.number("most", Measure.SHARE, 1);
                if (most <= 0) {
                    s.fault("spill", "'most' is 0: a pool that may take nothing is no way out");
                    most = 1;
                }
                t.done();
            } else {
                pool = (String) item;
            }
            known(s, "spill", "pool", pool, poolPlaces.keySet());
            String named = pool;
            if (spills.stream().anyMatch(p -> p.pool().equals(named))) {
                s.fault("spill", "pool '" + pool + "' is named twice");
            }
            spills.add(new SpillTarget(pool, most));
        }
        return spills;
    }

    private List<Destination> ways(Section s, String name, List<SpillTarget> spills) {
        if (!s.has("to")) {
            s.fault("to", "route '" + name + "' has no 'to': a pool, or several with weights");
        }
        List<Destination> ways = new ArrayList<>();
        double sum = 0;
        List<Object> items = s.items("to");
        int listed = items.size();
        for (Object item : items) {
            String pool;
            double weight = 1;
            if (item instanceof Section t) {
                pool = t.text("pool", null);
                weight = t.number("weight", Measure.NUMBER, 1);
                t.done();
            } else {
                pool = (String) item;
            }
            known(s, "to", "pool", pool, poolPlaces.keySet());
            String named = pool;
            if (ways.stream().anyMatch(w -> w.pool().equals(named))) {
                s.fault("to", "pool '" + pool + "' is named twice");
            }
            if (spills.stream().anyMatch(p -> p.pool().equals(named)) && listed == 1) {
                s.fault("spill", "traffic can't spill from pool '" + pool + "' into itself");
            }
            sum += weight;
            ways.add(new Destination(
                    pool,
                    weight,
                    spills.stream().filter(p -> !p.pool().equals(named)).toList()));
        }
        if (!ways.isEmpty() && sum == 0) {
            notes.add(s.place("to") + ": note: route '" + name + "' refuses all: its weights are 0");
        } else if (s.holdsNothing("to")) {
            s.fault("to", "route '" + name + "' leads to no pool");
        }
        return ways;
    }

    private static RetryBudgetConfig retries(Section s) {
        double share = s.number("share", Measure.SHARE, 0.2);
        Double least = s.has("least") ? s.figure("least", Units.RATE) : Double.valueOf(1);
        Double window = s.has("window") ? positive(s, "window") : Double.valueOf(WINDOW);
        boolean count = s.flag("count_clients", false);
        s.done();
        return least == null || window == null ? null : new RetryBudgetConfig(share, least, Math.round(window), count);
    }

    // ---- rates

    private static RateLimit rate(Section s) {
        Double rate = s.figure("rate", Units.RATE);
        if (rate == null && !s.has("rate")) {
            s.fault("rate", "a limit without 'rate': such as \"200/s\"");
        }
        double usual = rate == null ? 1 : Math.max(1, rate);
        double burst = s.number("burst", Measure.COUNT, Math.ceil(usual));
        Double ceiling = s.has("ceiling") ? s.figure("ceiling", Units.RATE) : rate;
        if (rate != null && ceiling != null && ceiling < rate) {
            s.fault(
                    "ceiling",
                    "'ceiling' is under 'rate', " + Units.RATE.write(ceiling) + " and " + Units.RATE.write(rate));
        }
        if (rate != null && rate > MOST_RATE) {
            s.fault("rate", "'rate' is over " + Units.RATE.write(MOST_RATE));
        }
        s.done();
        return rate == null || ceiling == null || ceiling < rate || burst < 1
                ? new RateLimit(1, 1, 1)
                : new RateLimit(rate, burst, ceiling);
    }

    private QuotaConfig quotas(Section root) {
        if (!root.has("quota")) {
            return QuotaConfig.none();
        }
        Section q = root.table("quota");
        Map<String, TenantQuotaConfig> tenants = new LinkedHashMap<>();
        Section all = q.table("tenant");
        double sum = 0;
        for (String tenant : all.keys()) {
            Section t = all.table(tenant);
            if (!TOKEN.matcher(tenant).matches()) {
                t.fault("", "'" + tenant + "' is no name of a tenant");
            }
            if (site.tenants() != null) {
                known(t, "", "tenant", tenant, site.tenants());
            }
            Map<String, RateLimit> routes = new LinkedHashMap<>();
            Section r = t.table("route");
            for (String route : r.keys()) {
                known(r, route, "route", route, routePlaces.keySet());
                routes.put(route, rate(r.table(route)));
            }
            RateLimit own = rate(t);
            sum += own.perSecond();
            tenants.put(tenant, new TenantQuotaConfig(own, routes));
        }
        RateLimit others = q.has("others") ? rate(q.table("others")) : null;
        sum += others == null ? 0 : others.perSecond();
        RateLimit whole = rate(q);
        if (sum > whole.perSecond() * (1 + 1e-9)) {
            notes.add(q.place("") + ": note: the tenants' rates add up to " + Units.RATE.write(sum)
                    + ", over the site's " + Units.RATE.write(whole.perSecond()) + ": all of them at once get more");
        }
        return new QuotaConfig(whole, tenants, others);
    }

    // ---- the rest

    private RetryAfterBounds advice(Section front) {
        Double least = front.has("retry_after_least")
                ? front.figure("retry_after_least", Units.TIME)
                : Double.valueOf(ADVICE_LEAST);
        double usual = site.retryAfterMost() > 0 ? site.retryAfterMost() : ADVICE_MOST;
        Double most =
                front.has("retry_after_most") ? front.figure("retry_after_most", Units.TIME) : Double.valueOf(usual);
        if (least == null || most == null) {
            return new RetryAfterBounds(0, 0);
        }
        if (least > most) {
            front.fault(
                    front.has("retry_after_least") ? "retry_after_least" : "retry_after_most",
                    "'retry_after_least' is over 'retry_after_most', " + Units.TIME.write(least) + " and "
                            + Units.TIME.write(most));
            return new RetryAfterBounds(0, 0);
        }
        if (site.retryAfterMost() > 0 && most > site.retryAfterMost()) {
            front.fault(
                    "retry_after_most",
                    "'retry_after_most' is over what the settings allow, " + Units.TIME.write(site.retryAfterMost()));
        }
        return new RetryAfterBounds(Math.round(least), Math.round(most));
    }

    private static OperatorConfig.LogPlan log(Section root) {
        Section s = root.table("log");
        String format = s.text("format", "text");
        if (!Set.of("text", "json").contains(format)) {
            s.fault(
                    "format",
                    "'format' is \"" + format + "\"; there are json, text"
                            + Section.meant(format, List.of("json", "text")));
        }
        int queue = (int) s.number("queue", Measure.COUNT, QUEUE);
        s.done();
        return new OperatorConfig.LogPlan(format.equals("json"), queue);
    }

    private static String name(Section s, String what, Map<String, String> places) {
        String name = s.text("name", null);
        if (!name.isEmpty() && !NAME.matcher(name).matches()) {
            s.fault("name", "'" + name + "' is no name: letters, digits, '.', '_' and '-', 64 at most");
        } else if (places.containsKey(name)) {
            s.fault("name", "two " + what + "s are called '" + name + "', the other at " + places.get(name));
        } else if (!name.isEmpty()) {
            places.put(name, s.place("name"));
        }
        return name;
    }

    private static Set<String> names(Section s, String key, String what, List<String> there) {
        Set<String> names = new LinkedHashSet<>(s.texts(key, List.of()));
        if (there != null) {
            names.forEach(n -> known(s, key, what, n, there));
        }
        return names;
    }

    private static void known(Section s, String key, String what, String name, java.util.Collection<String> there) {
        if (!name.isEmpty() && !there.contains(name)) {
            s.fault(key, "no " + what + " '" + name + "'" + Section.meant(name, there));
        }
    }
}
