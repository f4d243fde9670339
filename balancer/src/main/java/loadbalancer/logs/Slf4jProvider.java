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
 * The SLF4J provider of the balancer: every logger writes information and what is more severe to one
 * {@link AsyncLogWriter} on the process's standard error. Why no logging framework stands here: see
 * docs/design/routes-and-limits.md.
 */
public final class Slf4jProvider implements SLF4JServiceProvider {
    private static final String SLF4J_API_VERSION = "2.0.99";
    private static final AsyncLogWriter WRITER = new AsyncLogWriter(System.err, "load-balancer: ");

    private final IMarkerFactory markers = new BasicMarkerFactory();
    private final MDCAdapter context = new NOPMDCAdapter();

    /** The writer of all loggers. */
    public static AsyncLogWriter writer() {
        return WRITER;
    }

    /** Makes SLF4J use this provider without a search through the class path; to be called before the first logger. */
    public static void install() {
        System.setProperty("slf4j.provider", Slf4jProvider.class.getName());
        // At its default SLF4J writes a line about the provider on standard error.
        System.setProperty("slf4j.internal.verbosity", "WARN");
    }

    /** A logger that writes there. */
    public static Logger logger(String name, AsyncLogWriter writer) {
        return new WriterLogger(name, writer);
    }

    @Override
    public ILoggerFactory getLoggerFactory() {
        return name -> logger(name, WRITER);
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
        return SLF4J_API_VERSION;
    }

    @Override
    public void initialize() {
        // all fields are set by the constructor
    }

    private static final class WriterLogger extends LegacyAbstractLogger implements LoggingEventAware {
        private static final long serialVersionUID = 1L;
        private final transient AsyncLogWriter writer;

        WriterLogger(String name, AsyncLogWriter writer) {
            this.name = name;
            this.writer = writer;
        }

        @Override
        public void log(LoggingEvent event) {
            writer.add(
                    event.getLevel(),
                    format(event.getMessage(), event.getArgumentArray()),
                    event.getKeyValuePairs() == null ? List.of() : List.copyOf(event.getKeyValuePairs()),
                    event.getThrowable());
        }

        @Override
        protected void handleNormalizedLoggingCall(
                Level level, Marker marker, String pattern, Object[] arguments, Throwable thrown) {
            writer.add(level, format(pattern, arguments), List.of(), thrown);
        }

        private static String format(String pattern, Object[] arguments) {
            return arguments == null
                    ? pattern
                    : MessageFormatter.arrayFormat(pattern, arguments).getMessage();
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
