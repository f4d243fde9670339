package loadbalancer.upstream;

/**
 * How much of the current request of a connection has been written; applies to the last request until the connection is
 * idle.
 */
enum RequestProgress {
    /** Nothing has been written: the upstream has not received the request. */
    NOT_STARTED,
    /** A part may have been written, but not the last byte: the request can't have run. */
    SENDING,
    /** The last byte has been written: the request may have run. */
    SENT
}
