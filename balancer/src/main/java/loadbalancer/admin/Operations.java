package loadbalancer.admin;

/** What operators may ask of a running balancer. Each call takes effect before it returns. */
public interface Operations {
    /** Why this process can't serve at the moment; null where it is ready. */
    String unreadiness();

    /** What there is to say of a ready process, such as that it holds only a part of the list; null: nothing. */
    String note();

    /** Takes an upstream out, whether or not it is out already; false where nobody knows the id. */
    boolean setDown(String id);

    /** Puts an upstream back, whether or not it is out; false where nobody knows the id. */
    boolean setUp(String id);
}
