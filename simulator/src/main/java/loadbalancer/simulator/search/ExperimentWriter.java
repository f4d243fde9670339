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
        WorldPlan plan = find.plan();
        out.append("# Found by a hunt: ").append(find.what()).append("\n");
        head("experiment");
        text("question", "Does it still show: " + find.what() + "?");
        out.append("first_seed = ").append(find.seed()).append("\nseeds = 1\nexpect = [\"rules.broken == 0\"]\n");
        head("[variant]");
        text("policy", find.variant().policy());
        head("world");
        time("length", plan.length());
        number("balancers", plan.balancers());
        number("upstreams", plan.upstreams());
        out.append("zones = [")
                .append(plan.zones().stream().map(z -> '"' + z + '"').collect(Collectors.joining(", ")))
                .append("]\n");
        head("load");
        number("level", plan.load().level());
        text("shape", plan.load().shape().name().toLowerCase(Locale.ROOT));
        number("swing", plan.load().swing());
        number("zone_skew", plan.load().zoneSkew());
        number("keys", plan.load().keys());
        number("key_zipf", plan.load().keyZipf());
        number("quota", plan.load().quota());
        head("network");
        time("same", plan.network().sameZone());
        time("cross", plan.network().crossZone());
        time("client", plan.network().client());
        number("jitter", plan.network().jitter());
        number("loss", Range.of(plan.network().loss()));
        head("clients");
        number("retries", plan.clients().retries());
        number("try_share", plan.clients().attemptTimeoutFraction());
        time("backoff", plan.clients().backoff());
        number("honour", plan.clients().retryAfterCompliance());
        number("impatient", plan.clients().abandonFraction());
        time("notice", plan.clients().noticeDelay());
        flag("marks_retry", plan.clients().marksRetries());
        head("discovery");
        text("mode", plan.discovery().polling() ? "ask" : "push");
        time("notice", plan.discovery().noticeDelay());
        time("silent_notice", plan.discovery().silentFailureNotice());
        time("add", plan.discovery().registrationDelay());
        time("period", plan.discovery().period());
        time("spread", plan.discovery().spread());
        number("capacity", plan.discovery().capacity());
        number("call_lines", plan.discovery().entriesPerCall());
        time("timeout", plan.discovery().timeout());
        rules(plan.rules());
        head("goal");
        number("whole", Range.of(plan.goal().whole()));
        number("worst_window", Range.of(plan.goal().worstWindow()));
        number("worst_class", Range.of(plan.goal().worstClass()));
        number("worst_tenant", Range.of(plan.goal().worstTenant()));
        head("prices");
        number("cross_zone", Range.of(plan.prices().crossZone()));
        number("waste", Range.of(plan.prices().waste()));
        number("probe", Range.of(plan.prices().probe()));
        number("late_fail", Range.of(plan.prices().lateFail()));
        number("handshake", Range.of(plan.prices().handshake()));
        fleet(plan.fleet());
        plan.kinds().forEach(this::kind);
        plan.classes().forEach(this::requests);
        for (WorldPlan.Tenant tenant : plan.tenants()) {
            head("[tenant]");
            text("name", tenant.name());
            number("share", Range.of(tenant.share()));
            number("usage", tenant.usage());
        }
        plan.faults().forEach(this::fault);
        return out.toString();
    }

    private void rules(WorldPlan.Rules rules) {
        head("rules");
        time("answer_slack", rules.responseSlackMicros());
        time("drain_grace", rules.drainGracePeriodMicros());
        time("ask_within", rules.pollIntervalMicros());
        number("fall_multiple", Range.of(rules.overloadFactor()));
        time("fall", rules.overloadWindowMicros());
        number("max_attempts", Range.of(rules.maxAttempts()));
        flag("second_copies", rules.hedgingAllowed());
        flag("cancel", rules.cancel());
        flag("probes", rules.probes());
        time("max_retry_after", rules.maxRetryAfterMicros());
    }

    private void fleet(WorldPlan.Fleet fleet) {
        head("fleet");
        number("rack_size", fleet.rackSize());
        number("limited_racks", fleet.limitedRacks());
        number("rack_limit", fleet.rackLimit());
        number("handshake_rtts", fleet.handshakeRtts());
        time("handshake_work", fleet.handshakeWork());
        time("idle", fleet.idleTimeoutMicros());
        time("connect_timeout", fleet.connectTimeoutMicros());
        number("connections_per_core", fleet.connectionsPerCore());
        number("full_tax", fleet.connectionOverhead());
        number("key_gain", fleet.keyAffinityGain());
        time("key_memory", fleet.keyRetentionMicros());
        number("keys_per_core", fleet.keysPerCore());
    }

    private void kind(WorldPlan.Kind kind) {
        head("[kind]");
        text("name", kind.name());
        number("share", kind.share());
        number("cores", Range.of(kind.cores()));
        number("speed", kind.speed());
        number("speed_cv", kind.speedVariation());
        number("slots_per_core", kind.slotsPerCore());
        number("queue_per_core", kind.queuePerCore());
        number("thrash", Range.of(kind.crowding()));
        number("thrash_at", kind.crowdingThreshold());
        number("cold_from", kind.slowStartInitialWeight());
        time("cold", kind.slowStartDurationMicros());
        text("warm_by", kind.warmBy().name().toLowerCase(Locale.ROOT));
        number("errors", kind.errorFraction());
        number("cancel_drops", Range.of(kind.cancelDropProbability()));
        text("pool", kind.pool());
    }

    private void requests(WorldPlan.RequestClassPlan kind) {
        head("[class]");
        text("name", kind.name());
        number("share", kind.share());
        time("work", kind.work());
        text("dist", kind.spread().name().toLowerCase(Locale.ROOT));
        number("cv", kind.variation());
        number("attempt_noise", kind.attemptNoise());
        time("aim", kind.latencyObjectiveMicros());
        time("deadline", kind.deadline());
        number("worth", Range.of(kind.priorityWeight()));
        number("late_worth", Range.of(kind.lateFraction()));
        text("effect", ProtocolNames.of(kind.effect()));
    }

    private void fault(WorldPlan.Fault fault) {
        head("[trouble]");
        text("kind", fault.kind());
        time("at", fault.at());
        time("length", fault.length());
        number("part", fault.fraction());
        number("size", fault.size());
        number("extra", fault.extra());
        if (fault.pool() != null) {
            text("of", fault.pool());
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

    private void number(String key, Range range) {
        out.append(key)
                .append(" = ")
                .append(
                        range.from() == range.to()
                                ? plain(range.from())
                                : "[" + plain(range.from()) + ", " + plain(range.to()) + "]")
                .append('\n');
    }

    private void time(String key, long value) {
        time(key, Range.of(value));
    }

    private void time(String key, Range range) {
        out.append(key)
                .append(" = ")
                .append(
                        range.from() == range.to()
                                ? '"' + plain(range.from()) + "us\""
                                : "[\"" + plain(range.from()) + "us\", \"" + plain(range.to()) + "us\"]")
                .append('\n');
    }

    private static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : new java.math.BigDecimal(Double.toString(value)).toPlainString();
    }
}
