/**
 * The handover between two processes of one balancer while one replaces the other: the link between them, the typed
 * messages, and the one codec that defines the wire form of these messages. Also the clients' listening socket that the
 * platform passes from process to process. Unless a class says otherwise, all of it belongs to the event loop's thread.
 */
package loadbalancer.handover;
