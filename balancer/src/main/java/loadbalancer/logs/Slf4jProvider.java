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
 * The SLF4J provider of the balancer. All loggers write the levels INFO and above to one {@link AsyncLogWriter} on the
 * process's standard error. docs/design/routes-and-limits.md explains why no logging framework is used.
 */
public final class Slf4jProvider implements SLF4JServiceProvider {
    private static final String SLF4J_API_VERSION = "2.0.99";
    private static final AsyncLogWriter WRITER = new AsyncLogWriter(System.err, "load-balancer: ");

    private final IMarkerFactory markers = new BasicMarkerFactory();
    private final MDCAdapter mdcAdapter = new NOPMDCAdapter();

    /** Returns the writer that all loggers of the process share. */
    public static AsyncLogWriter writer() {
        return WRITER;
    }

    /**
     * Makes SLF4J use this provider without searching the class path. Has to be called before the first logger is
     * created.
     */
    public static void install() {
        System.setProperty("slf4j.provider", Slf4jProvider.class.getName());
        // At its default verbosity SLF4J writes a line about the provider to standard error.
        System.setProperty("slf4j.internal.verbosity", "WARN");
    }

    /** Returns a logger that writes to {@code writer}. */
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
        return mdcAdapter;
    }

    @Override
    public String getRequestedApiVersion() {
        return SLF4J_API_VERSION;
    }

    @Override
    public void initialize() {
        // the field initializers have set all fields
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
