/**
 * The clients' side: takes connections and HTTP/1.1 requests, hands the requests over and writes their responses. All
 * of it belongs to the event loop's thread, but for the start of listening.
 */
package loadbalancer.http;
