package loadbalancer.process;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Takes SIGHUP, by which operators say that the configuration has been replaced. Guards against the JVM's own
 * handling, which ends the process. The platform has no public interface for signals; the one that every JDK
 * carries is reached by its name, as the compiler warns of each direct use.
 *
 * <p>A process that was started with SIGHUP ignored, as nohup does, never gets it: the JVM leaves it ignored, and
 * says so only by the former handler that it returns. No flag of the JVM changes that, so the {@code run} line of the
 * deploy file undoes it before the JVM starts.
 */
public final class ReloadSignal {
    private Runnable action; // null until the process can go by another configuration
    private boolean missed;
    private String lack;

    private ReloadSignal() {}

    /** Takes each SIGHUP from here on. */
    public static ReloadSignal take() {
        ReloadSignal reloadSignal = new ReloadSignal();
        InvocationHandler handler = (proxy, method, arguments) -> switch (method.getName()) {
            case "handle" -> {
                reloadSignal.came();
                yield null;
            }
            case "equals" -> proxy == arguments[0];
            case "hashCode" -> System.identityHashCode(proxy);
            default -> "SIGHUP handler";
        };
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> type = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, handler);
            Object former = signal.getMethod("handle", signal, type)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
            if (type.getField("SIG_IGN").get(null).equals(former)) {
                reloadSignal.lack = "SIGHUP is ignored here, as under nohup: a new configuration needs a restart; "
                        + "begun with 'env --default-signal=HUP', as by the run line, the process takes it";
            }
        } catch (ReflectiveOperationException e) {
            reloadSignal.lack = "no SIGHUP here: a new configuration needs a restart";
        }
        return reloadSignal;
    }

    /** Why none will ever come, and how settings are changed then; null where each is taken. */
    public String lack() {
        return lack;
    }

    private synchronized void came() {
        missed = action == null;
        if (action != null) {
            action.run();
        }
    }

    /** Runs {@code then} at each SIGHUP, on a thread of its own, and at once where one has come already. */
    public synchronized void onEach(Runnable then) {
        action = then;
        if (missed) {
            came();
        }
    }
}
