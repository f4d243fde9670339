package loadbalancer.process;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Takes SIGHUP, by which operators say that the configuration has been replaced, in place of the JVM, which would end
 * the process. There is no public interface for signals; the one that every JDK carries is reached by its name, as the
 * compiler warns of each direct use.
 *
 * <p>A process that is started with SIGHUP ignored, as by nohup, never gets it: the JVM leaves it ignored, and says so
 * only by the former handler that it returns. No flag of the JVM changes that, so the {@code run} line of the deploy
 * file undoes it before the JVM starts.
 *
 * <p>Thread-safe. The signal comes on a thread of its own.
 */
final class ReloadSignal {
    private static final String SIGNAL_CLASS = "sun.misc.Signal";
    private static final String HANDLER_CLASS = "sun.misc.SignalHandler";
    private static final String HANGUP = "HUP";
    private static final String IGNORED =
            "SIGHUP is ignored here, as under nohup: a new configuration needs a restart; "
                    + "begun with 'env --default-signal=HUP', as by the run line, the process takes it";
    private static final String UNAVAILABLE = "no SIGHUP here: a new configuration needs a restart";

    private Runnable action; // null until the process can put another configuration into force
    private boolean missed; // a signal has come before there was an action
    private String unavailability;

    private ReloadSignal() {}

    /** Takes each SIGHUP from here on, and remembers one that comes before {@link #onEach}. */
    static ReloadSignal take() {
        ReloadSignal reloadSignal = new ReloadSignal();
        try {
            Class<?> signalClass = Class.forName(SIGNAL_CLASS);
            Class<?> handlerClass = Class.forName(HANDLER_CLASS);
            Object handler = Proxy.newProxyInstance(
                    handlerClass.getClassLoader(), new Class<?>[] {handlerClass}, reloadSignal.invocationHandler());
            Object formerHandler = signalClass
                    .getMethod("handle", signalClass, handlerClass)
                    .invoke(null, signalClass.getConstructor(String.class).newInstance(HANGUP), handler);
            if (handlerClass.getField("SIG_IGN").get(null).equals(formerHandler)) {
                reloadSignal.unavailability = IGNORED;
            }
        } catch (ReflectiveOperationException e) {
            reloadSignal.unavailability = UNAVAILABLE;
        }
        return reloadSignal;
    }

    private InvocationHandler invocationHandler() {
        return (proxy, method, arguments) -> switch (method.getName()) {
            case "handle" -> {
                received();
                yield null;
            }
            case "equals" -> proxy == arguments[0];
            case "hashCode" -> System.identityHashCode(proxy);
            default -> "SIGHUP handler";
        };
    }

    /** Returns why no signal will ever come, and how the configuration is replaced then; null where each is taken. */
    String unavailability() {
        return unavailability;
    }

    private synchronized void received() {
        missed = action == null;
        if (action != null) {
            action.run();
        }
    }

    /** Runs {@code then} at each SIGHUP, on the signal's thread, and now where one has come already. */
    synchronized void onEach(Runnable then) {
        action = then;
        if (missed) {
            received();
        }
    }
}
