/**
 * What two processes of one balancer say to each other while one replaces the other: the link between them, the typed
 * messages, and the only place that knows the words of these messages. Also the clients' listening socket that the
 * platform hands from process to process. All of it, save what says otherwise, belongs to the event loop's thread.
 */
package loadbalancer.handover;
