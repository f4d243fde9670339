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
 * Reads lists from bytes that arrive in pieces, wherever these and the lists' lines end. What cannot be JSON is found
 * at its first wrong byte, not only when the source falls silent. No list is ever in memory as a whole: each entry is
 * kept or passed over as it ends, so that the memory for a list does not grow with it. One reader per source; not
 * thread-safe.
 */
public final class ListReader {
    /** Bytes from one entry's end to the next. */
    private static final int MAX_ENTRY_BYTES = 4 << 20;
    /** Bytes of one list: some 3 million entries. */
    private static final long MAX_LIST_BYTES = 1L << 29;

    private static final int MAX_NESTING = 16;
    private static final int MAX_STRING_LENGTH = 1 << 16;
    /** Containers that are open within the list of entries: the list's object and the array. */
    private static final int ENTRY_NESTING = 2;

    private static final JsonFactory JSON = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MAX_NESTING)
                    .maxStringLength(MAX_STRING_LENGTH)
                    .build())
            .build();

    private final JsonParser parser;
    private final ByteArrayFeeder feeder; // null where the parser has its source
    private final Supplier<BootSettings> settings;
    private final EndpointSubset subset;
    private final Deque<Object> openContainers = new ArrayDeque<>(); // maps and lists, the innermost first
    private final Deque<String> fieldNames = new ArrayDeque<>(); // of what comes next in each open map
    private AdaptiveSample<EndpointList.Entry> sampling; // null before the first entry of a list
    private int bytesSinceEntry;
    private long bytesOfList;

    /**
     * Creates a reader of lists that follow each other.
     *
     * @param settings the settings in force, by which names of zones and kinds become numbers
     * @param subset which part of a list is kept
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
     * Reads the list whose first token is the parser's current one, and no further.
     *
     * @throws DiscoveryFormatException where it is not a list
     * @throws IOException where it cannot be read, or is not JSON
     */
    public static EndpointList readOne(JsonParser parser, BootSettings settings, EndpointSubset subset)
            throws IOException {
        if (parser.currentToken() != JsonToken.START_OBJECT) {
            throw new DiscoveryFormatException("no list of targets");
        }
        ListReader reader = new ListReader(parser, settings, subset);
        EndpointList[] found = new EndpointList[1];
        reader.accept(JsonToken.START_OBJECT, list -> found[0] = list);
        while (found[0] == null) {
            JsonToken token = parser.nextToken();
            if (token == null) {
                throw new DiscoveryFormatException("it breaks off");
            }
            reader.accept(token, list -> found[0] = list);
        }
        return found[0];
    }

    /** Whether a list has begun and not ended. */
    boolean isWithinList() {
        return !openContainers.isEmpty();
    }

    /**
     * Reads on.
     *
     * @param onList gets each list that ends here
     * @throws DiscoveryFormatException where it is not JSON, or not a list, or is longer than any list
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
            throw new DiscoveryFormatException("not JSON", e);
        }
        checkLength();
    }

    private void checkLength() {
        if (openContainers.isEmpty()) {
            bytesSinceEntry = 0;
            bytesOfList = 0;
        } else if (bytesSinceEntry > MAX_ENTRY_BYTES) {
            throw new DiscoveryFormatException("over " + MAX_ENTRY_BYTES + " bytes without an upstream");
        } else if (bytesOfList > MAX_LIST_BYTES) {
            throw new DiscoveryFormatException("a list of over " + MAX_LIST_BYTES + " bytes");
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
            DiscoveryFormat.state((Map<?, ?>) entry); // what is not kept must still be an entry
            sampling.skip();
        }
    }

    private void listEnded(Map<?, ?> fields, Consumer<EndpointList> onList) {
        boolean complete = DiscoveryFormat.isComplete(fields);
        AdaptiveSample<EndpointList.Entry> sampled = sampling;
        sampling = null;
        checkNoOtherEntries(fields);
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

    // Entries are not added to their array: what is in it is no entry, such as a number or a string.
    private static void checkNoOtherEntries(Map<?, ?> fields) {
        if (!(fields.get(DiscoveryFormat.ENTRIES) instanceof List<?> others)) {
            throw new DiscoveryFormatException("no list of targets");
        }
        if (!others.isEmpty()) {
            throw new DiscoveryFormatException("a target without uid");
        }
    }
}
