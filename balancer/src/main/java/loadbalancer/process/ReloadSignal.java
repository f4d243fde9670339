package loadbalancer.process;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, with which operators ask for a reload of the configuration. By default the JVM would end the process.
 * Java has no public API for signals; the internal one of every JDK is used by reflection, because the compiler warns
 * of each direct use.
 *
 * <p>A process that is started with SIGHUP ignored, as by nohup, never receives it: the JVM leaves the signal ignored,
 * and only the previous handler that it returns shows this. No JVM flag changes that, so the {@code run} line of the
 * deploy file resets the signal before the JVM starts.
 *
 * <p>Thread-safe. The JVM delivers the signal on a separate thread.
 */
final class ReloadSignal {
    private static final String SIGNAL_CLASS = "sun.misc.Signal";
    private static final String HANDLER_CLASS = "sun.misc.SignalHandler";
    private static final String HANGUP = "HUP";
    private static final String IGNORED =
            "SIGHUP is ignored here, as under nohup: a new configuration needs a restart; "
                    + "start the process with 'env --default-signal=HUP', as the run line does, to enable reloads";
    private static final String UNAVAILABLE = "no SIGHUP here: a new configuration needs a restart";

    private Runnable action; // null until the process can reload its configuration
    private boolean pending; // a signal has come before the action was set
    private String unavailability; // null if SIGHUP is handled

    private ReloadSignal() {}

    /** Installs the handler. A SIGHUP that comes before {@link #onEach} is kept for it. */
    static ReloadSignal install() {
        ReloadSignal reloadSignal = new ReloadSignal();
        try {
            Class<?> signalClass = Class.forName(SIGNAL_CLASS);
            Class<?> handlerClass = Class.forName(HANDLER_CLASS);
            Object handler = Proxy.newProxyInstance(
                    handlerClass.getClassLoader(), new Class<?>[] {handlerClass}, reloadSignal.invocationHandler());
            Object previousHandler = signalClass
                    .getMethod("handle", signalClass, handlerClass)
                    .invoke(null, signalClass.getConstructor(String.class).newInstance(HANGUP), handler);
            if (handlerClass.getField("SIG_IGN").get(null).equals(previousHandler)) {
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

    /**
     * Returns why SIGHUP will never be received, and how the configuration can be replaced instead; null if SIGHUP is
     * handled.
     */
    String unavailability() {
        return unavailability;
    }

    private synchronized void received() {
        pending = action == null;
        if (action != null) {
            action.run();
        }
    }

    /** Runs {@code newAction} at each SIGHUP, on the signal's thread, and at once if one has already come. */
    synchronized void onEach(Runnable newAction) {
        action = newAction;
        if (pending) {
            received();
        }
    }
}
