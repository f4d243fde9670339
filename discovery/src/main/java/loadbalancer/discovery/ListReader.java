package loadbalancer.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import loadbalancer.settings.BootSettings;
import loadbalancer.subset.AdaptiveSample;
import loadbalancer.subset.Subset;

/**
 * Reads lists from bytes that arrive in pieces, wherever the pieces and the lines of the lists end. Invalid JSON is
 * detected at its first invalid byte, not only when the source stops sending. No list is in memory as a whole: each
 * entry is kept or skipped when its end is read, so that a longer list does not need more memory. One reader per
 * source; not thread-safe.
 */
public final class ListReader {
    /** Maximum bytes from the end of one entry to the end of the next; parsed, they may take twenty times as much. */
    private static final int MAX_ENTRY_BYTES = 128 << 10;
    /** Maximum bytes of one list: some 3 million entries. */
    private static final long MAX_LIST_BYTES = 1L << 29;

    private static final int MAX_NESTING = 16;
    private static final int MAX_STRING_LENGTH = 1 << 16;
    /** Number of open containers around an entry: the list's object and the array of entries. */
    private static final int ENTRY_NESTING = 2;

    private static final JsonFactory JSON = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MAX_NESTING)
                    .maxStringLength(MAX_STRING_LENGTH)
                    .build())
            .build();

    private final JsonParser parser;
    private final ByteArrayFeeder feeder; // null if the parser reads from a source of its own
    private final Supplier<BootSettings> settings;
    private final EndpointSubset subset;
    private final Deque<Object> openContainers = new ArrayDeque<>(); // maps and lists, the innermost first
    private final Deque<String> fieldNames = new ArrayDeque<>(); // fields without a value yet, the innermost first
    private AdaptiveSample<EndpointList.Entry> sampling; // null before the first entry of a list
    private int bytesSinceEntry;
    private long bytesOfList;

    /**
     * Creates a reader of consecutive lists.
     *
     * @param settings supplies the current settings, which map names of zones and kinds to numbers
     * @param subset the part of a list that is kept
     */
    ListReader(Supplier<BootSettings> settings, EndpointSubset subset) {
        this.settings = settings;
        this.subset = subset;
        try {
            parser = JSON.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    private ListReader(JsonParser parser, BootSettings settings, EndpointSubset subset) {
        this.parser = parser;
        this.feeder = null;
        this.settings = () -> settings;
        this.subset = subset;
    }

    /**
     * Reads the list whose first token is the parser's current one, and nothing behind the list.
     *
     * @throws DiscoveryFormatException if it is not a valid list
     * @throws IOException if it cannot be read or is not valid JSON
     */
    public static EndpointList readOne(JsonParser parser, BootSettings settings, EndpointSubset subset)
            throws IOException {
        if (parser.currentToken() != JsonToken.START_OBJECT) {
            throw new DiscoveryFormatException("the list is not an object");
        }
        ListReader reader = new ListReader(parser, settings, subset);
        EndpointList[] found = new EndpointList[1];
        reader.accept(JsonToken.START_OBJECT, list -> found[0] = list);
        while (found[0] == null) {
            JsonToken token = parser.nextToken();
            if (token == null) {
                throw new DiscoveryFormatException("the input ends within the list");
            }
            reader.accept(token, list -> found[0] = list);
        }
        return found[0];
    }

    /** Returns how many bytes of the list that is being read have arrived. */
    long listBytes() {
        return bytesOfList;
    }

    /** Whether a list has been read in part. */
    boolean isWithinList() {
        return !openContainers.isEmpty();
    }

    /**
     * Reads the next bytes.
     *
     * @param onList receives each list that ends within these bytes
     * @throws DiscoveryFormatException if the input is not valid JSON, is not a valid list, or exceeds a size limit
     */
    void read(byte[] bytes, Consumer<EndpointList> onList) {
        try {
            bytesSinceEntry += bytes.length;
            bytesOfList += bytes.length;
            feeder.feedInput(bytes, 0, bytes.length);
            JsonToken token = parser.nextToken();
            while (token != JsonToken.NOT_AVAILABLE) {
                accept(token, onList);
                token = parser.nextToken();
            }
        } catch (IOException e) {
            throw new DiscoveryFormatException("not valid JSON", e);
        }
        checkLength();
    }

    private void checkLength() {
        if (openContainers.isEmpty()) {
            bytesSinceEntry = 0;
            bytesOfList = 0;
        } else if (bytesSinceEntry > MAX_ENTRY_BYTES) {
            throw new DiscoveryFormatException("over " + MAX_ENTRY_BYTES + " bytes without an entry");
        } else if (bytesOfList > MAX_LIST_BYTES) {
            throw new DiscoveryFormatException("the list has over " + MAX_LIST_BYTES + " bytes");
        }
    }

    private void accept(JsonToken token, Consumer<EndpointList> onList) throws IOException {
        if (openContainers.isEmpty() && token != JsonToken.START_OBJECT) {
            throw new DiscoveryFormatException("not an object: " + parser.getText());
        }
        switch (token) {
            case START_OBJECT -> {
                openContainers.push(new LinkedHashMap<String, Object>());
            }
            case START_ARRAY -> {
                openContainers.push(new ArrayList<>());
            }
            case FIELD_NAME -> {
                fieldNames.push(parser.currentName());
            }
            case END_OBJECT, END_ARRAY -> {
                containerEnded(openContainers.pop(), onList);
            }
            case VALUE_STRING -> {
                addValue(parser.getText());
            }
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> {
                addValue(parser.getNumberValue());
            }
            case VALUE_TRUE, VALUE_FALSE -> {
                addValue(token == JsonToken.VALUE_TRUE);
            }
            default -> {
                addValue(null);
            }
        }
    }

    private void containerEnded(Object container, Consumer<EndpointList> onList) {
        if (openContainers.isEmpty()) {
            listEnded((Map<?, ?>) container, onList);
        } else if (openContainers.size() == ENTRY_NESTING
                && openContainers.peek() instanceof List<?>
                && DiscoveryFormat.ENTRIES.equals(fieldNames.peek())) {
            entryEnded(container);
        } else {
            addValue(container);
        }
    }

    @SuppressWarnings("unchecked")
    private void addValue(Object value) {
        if (openContainers.peek() instanceof List<?> list) {
            ((List<Object>) list).add(value);
        } else {
            ((Map<String, Object>) openContainers.peek()).put(fieldNames.pop(), value);
        }
    }

    private void entryEnded(Object entry) {
        bytesSinceEntry = 0;
        if (sampling == null) {
            sampling = subset.beginSample(DiscoveryFormat.isComplete((Map<?, ?>) openContainers.peekLast()));
        }
        if (sampling.accepts(Subset.hash(DiscoveryFormat.id(entry)))) {
            sampling.add(DiscoveryFormat.entry((Map<?, ?>) entry, settings.get()));
        } else {
            DiscoveryFormat.state((Map<?, ?>) entry); // also an entry that is not kept must be valid
            sampling.skip();
        }
    }

    private void listEnded(Map<?, ?> fields, Consumer<EndpointList> onList) {
        boolean complete = DiscoveryFormat.isComplete(fields);
        AdaptiveSample<EndpointList.Entry> sampled = sampling;
        sampling = null;
        checkOnlyEntries(fields);
        if (sampled == null) {
            sampled = subset.beginSample(complete);
        }
        List<EndpointList.Entry> kept = List.copyOf(sampled.finish());
        onList.accept(new EndpointList(
                DiscoveryFormat.version(fields),
                complete,
                kept,
                Long.MAX_VALUE,
                new EndpointList.Sample(sampled.subset(), sampled.listedCount())));
    }

    // Entries are not added to their array: whatever is in it is not an entry, such as a number or a string.
    private static void checkOnlyEntries(Map<?, ?> fields) {
        if (!(fields.get(DiscoveryFormat.ENTRIES) instanceof List<?> others)) {
            throw new DiscoveryFormatException("'targets' is missing or not an array");
        }
        if (!others.isEmpty()) {
            throw new DiscoveryFormatException("an entry of 'targets' is not an object with a 'uid'");
        }
    }
}
