package loadbalancer.logs;

import java.util.List;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.Logger;
import org.slf4j.Marker;
import org.slf4j.event.Level;
import org.slf4j.event.LoggingEvent;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.helpers.LegacyAbstractLogger;
import org.slf4j.helpers.MessageFormatter;
import org.slf4j.helpers.NOPMDCAdapter;
import org.slf4j.spi.LoggingEventAware;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * What SLF4J logs through here: every logger writes to one {@link AsyncLogWriter} on the process's standard error.
 * Chosen over
 * Logback by measured start time, see docs/design/routes-and-limits.md.
 */
public final class Slf4jProvider implements SLF4JServiceProvider {
    private static final AsyncLogWriter SINK = new AsyncLogWriter(System.err, "load-balancer: ");
    private final IMarkerFactory markers = new BasicMarkerFactory();
    private final MDCAdapter context = new NOPMDCAdapter();

    /** The sink of all loggers. */
    public static AsyncLogWriter sink() {
        return SINK;
    }

    /** Makes SLF4J use this provider without a search through the class path; call before the first logger. */
    public static void install() {
        System.setProperty("slf4j.provider", Slf4jProvider.class.getName());
        System.setProperty("slf4j.internal.verbosity", "WARN"); // it would say on the log that it obeys
    }

    /** A logger that writes there: information and what is worse. */
    public static Logger logger(String name, AsyncLogWriter sink) {
        return new SinkLogger(name, sink);
    }

    @Override
    public ILoggerFactory getLoggerFactory() {
        return name -> logger(name, SINK);
    }

    @Override
    public IMarkerFactory getMarkerFactory() {
        return markers;
    }

    @Override
    public MDCAdapter getMDCAdapter() {
        return context;
    }

    @Override
    public String getRequestedApiVersion() {
        return "2.0.99";
    }

    @Override
    public void initialize() {
        // nothing to look for
    }

    private static final class SinkLogger extends LegacyAbstractLogger implements LoggingEventAware {
        private static final long serialVersionUID = 1L;
        private final transient AsyncLogWriter sink;

        SinkLogger(String name, AsyncLogWriter sink) {
            this.name = name;
            this.sink = sink;
        }

        @Override
        public void log(LoggingEvent e) {
            String text = e.getArgumentArray() == null
                    ? e.getMessage()
                    : MessageFormatter.arrayFormat(e.getMessage(), e.getArgumentArray())
                            .getMessage();
            sink.add(
                    e.getLevel(),
                    text,
                    e.getKeyValuePairs() == null ? List.of() : List.copyOf(e.getKeyValuePairs()),
                    e.getThrowable());
        }

        @Override
        protected void handleNormalizedLoggingCall(
                Level level, Marker marker, String pattern, Object[] arguments, Throwable thrown) {
            sink.add(
                    level,
                    arguments == null
                            ? pattern
                            : MessageFormatter.arrayFormat(pattern, arguments).getMessage(),
                    List.of(),
                    thrown);
        }

        @Override
        protected String getFullyQualifiedCallerName() {
            return null;
        }

        @Override
        public boolean isTraceEnabled() {
            return false;
        }

        @Override
        public boolean isDebugEnabled() {
            return false;
        }

        @Override
        public boolean isInfoEnabled() {
            return true;
        }

        @Override
        public boolean isWarnEnabled() {
            return true;
        }

        @Override
        public boolean isErrorEnabled() {
            return true;
        }
    }
}
