package loadbalancer.simulator.search;

import java.util.Locale;
import java.util.stream.Collectors;
import loadbalancer.settings.ProtocolNames;
import loadbalancer.simulator.world.Range;
import loadbalancer.simulator.world.WorldPlan;

/** Writes a find as an experiment that stands by itself: reading it gives the same world again. */
public final class ExperimentWriter {
    private final StringBuilder out = new StringBuilder();

    private ExperimentWriter() {}

    /** The text of the file. */
    public static String write(RandomSearch.Find find) {
        return new ExperimentWriter().text(find);
    }

    private String text(RandomSearch.Find find) {
        WorldPlan p = find.plan();
        out.append("# Found by a hunt: ").append(find.what()).append("\n");
        head("experiment");
        text("question", "Does it still show: " + find.what() + "?");
        out.append("first_seed = ").append(find.seed()).append("\nseeds = 1\nexpect = [\"rules.broken == 0\"]\n");
        head("[variant]");
        text("policy", find.variant().policy());
        head("world");
        time("length", p.length());
        number("balancers", p.balancers());
        number("upstreams", p.upstreams());
        out.append("zones = [")
                .append(p.zones().stream().map(z -> '"' + z + '"').collect(Collectors.joining(", ")))
                .append("]\n");
        head("load");
        number("level", p.load().level());
        text("shape", p.load().shape().name().toLowerCase(Locale.ROOT));
        number("swing", p.load().swing());
        number("zone_skew", p.load().zoneSkew());
        number("keys", p.load().keys());
        number("key_zipf", p.load().keyZipf());
        number("quota", p.load().quota());
        head("network");
        time("same", p.network().same());
        time("cross", p.network().cross());
        time("client", p.network().client());
        number("jitter", p.network().jitter());
        number("loss", Range.of(p.network().loss()));
        head("clients");
        number("retries", p.clients().retries());
        number("try_share", p.clients().attemptTimeoutFraction());
        time("backoff", p.clients().backoff());
        number("honour", p.clients().retryAfterCompliance());
        number("impatient", p.clients().abandonFraction());
        time("notice", p.clients().noticeDelay());
        flag("marks_retry", p.clients().marksRetries());
        head("discovery");
        text("mode", p.discovery().ask() ? "ask" : "push");
        time("notice", p.discovery().noticeDelay());
        time("silent_notice", p.discovery().silentFailureNotice());
        time("add", p.discovery().registrationDelay());
        time("period", p.discovery().period());
        time("spread", p.discovery().spread());
        number("capacity", p.discovery().capacity());
        number("call_lines", p.discovery().entriesPerCall());
        time("timeout", p.discovery().timeout());
        rules(p.rules());
        head("goal");
        number("whole", Range.of(p.goal().whole()));
        number("worst_window", Range.of(p.goal().worstWindow()));
        number("worst_class", Range.of(p.goal().worstClass()));
        number("worst_tenant", Range.of(p.goal().worstTenant()));
        head("prices");
        number("cross_zone", Range.of(p.prices().crossZone()));
        number("waste", Range.of(p.prices().waste()));
        number("probe", Range.of(p.prices().probe()));
        number("late_fail", Range.of(p.prices().lateFail()));
        number("handshake", Range.of(p.prices().handshake()));
        fleet(p.fleet());
        p.kinds().forEach(this::kind);
        p.classes().forEach(this::requests);
        for (WorldPlan.Tenant t : p.tenants()) {
            head("[tenant]");
            text("name", t.name());
            number("share", Range.of(t.share()));
            number("usage", t.usage());
        }
        p.faults().forEach(this::fault);
        return out.toString();
    }

    private void rules(WorldPlan.Rules r) {
        head("rules");
        time("answer_slack", r.responseSlackMicros());
        time("drain_grace", r.drainGracePeriodMicros());
        time("ask_within", r.pollIntervalMicros());
        number("fall_multiple", Range.of(r.overloadFactor()));
        time("fall", r.overloadWindowMicros());
        number("max_attempts", Range.of(r.maxAttempts()));
        flag("second_copies", r.hedgingAllowed());
        flag("cancel", r.cancel());
        flag("probes", r.probes());
        time("max_retry_after", r.maxRetryAfterMicros());
    }

    private void fleet(WorldPlan.Fleet f) {
        head("fleet");
        number("rack_size", f.rackSize());
        number("limited_racks", f.limitedRacks());
        number("rack_limit", f.rackLimit());
        number("handshake_rtts", f.handshakeRtts());
        time("handshake_work", f.handshakeWork());
        time("idle", f.idleTimeoutMicros());
        time("connect_timeout", f.connectTimeoutMicros());
        number("connections_per_core", f.connectionsPerCore());
        number("full_tax", f.connectionOverhead());
        number("key_gain", f.keyAffinityGain());
        time("key_memory", f.keyRetentionMicros());
        number("keys_per_core", f.keysPerCore());
    }

    private void kind(WorldPlan.Kind k) {
        head("[kind]");
        text("name", k.name());
        number("share", k.share());
        number("cores", Range.of(k.cores()));
        number("speed", k.speed());
        number("speed_cv", k.speedVariation());
        number("slots_per_core", k.slotsPerCore());
        number("queue_per_core", k.queuePerCore());
        number("thrash", Range.of(k.crowding()));
        number("thrash_at", k.crowdingThreshold());
        number("cold_from", k.slowStartInitialWeight());
        time("cold", k.slowStartDurationMicros());
        text("warm_by", k.warmBy().name().toLowerCase(Locale.ROOT));
        number("errors", k.errors());
        number("cancel_drops", Range.of(k.cancelDropProbability()));
        text("pool", k.pool());
    }

    private void requests(WorldPlan.RequestKind k) {
        head("[class]");
        text("name", k.name());
        number("share", k.share());
        time("work", k.work());
        text("dist", k.spread().name().toLowerCase(Locale.ROOT));
        number("cv", k.variation());
        number("attempt_noise", k.attemptNoise());
        time("aim", k.latencyObjectiveMicros());
        time("deadline", k.deadline());
        number("worth", Range.of(k.priorityWeight()));
        number("late_worth", Range.of(k.lateFraction()));
        text("effect", ProtocolNames.of(k.effect()));
    }

    private void fault(WorldPlan.Fault t) {
        head("[trouble]");
        text("kind", t.kind());
        time("at", t.at());
        time("length", t.length());
        number("part", t.fraction());
        number("size", t.size());
        number("extra", t.extra());
        if (t.pool() != null) {
            text("of", t.pool());
        }
    }

    private void head(String name) {
        out.append("\n[").append(name).append("]\n");
    }

    private void text(String key, String value) {
        out.append(key)
                .append(" = \"")
                .append(value.replace("\\", "\\\\").replace("\"", "\\\""))
                .append("\"\n");
    }

    private void flag(String key, boolean value) {
        out.append(key).append(" = ").append(value).append('\n');
    }

    private void number(String key, Range r) {
        out.append(key)
                .append(" = ")
                .append(r.from() == r.to() ? plain(r.from()) : "[" + plain(r.from()) + ", " + plain(r.to()) + "]")
                .append('\n');
    }

    private void time(String key, long value) {
        time(key, Range.of(value));
    }

    private void time(String key, Range r) {
        out.append(key)
                .append(" = ")
                .append(
                        r.from() == r.to()
                                ? '"' + plain(r.from()) + "us\""
                                : "[\"" + plain(r.from()) + "us\", \"" + plain(r.to()) + "us\"]")
                .append('\n');
    }

    private static String plain(double v) {
        return v == Math.rint(v) && Math.abs(v) < 1e15
                ? Long.toString((long) v)
                : new java.math.BigDecimal(Double.toString(v)).toPlainString();
    }
}
