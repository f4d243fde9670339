package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.upstream.ReuseCheck.Fingerprint;
import org.junit.jupiter.api.Test;

/** When a connection to an upstream may carry another request. */
class ReuseCheckTest {
    private static final Fingerprint RESPONSE = new Fingerprint(200, 24, 7, 1);
    private static final Fingerprint HEALTHY = new Fingerprint(200, 0, 1, 1);

    private static final Fingerprint OTHER = new Fingerprint(200, 24, 8, 1);

    private final ReuseCheck check = new ReuseCheck();

    @Test
    void newConnectionNeedsNoCheck() {
        assertTrue(check.isProven());
        assertFalse(check.mayBeCopy(HEALTHY));
    }

    @Test
    void nothingIsProvenUntilTheResponseToTheCheck() {
        check.responseEnded(RESPONSE);
        assertFalse(check.isProven());
        check.checkSent();
        assertTrue(check.isChecking());
        assertFalse(check.isProven());
        assertTrue(check.accept(HEALTHY));
        assertTrue(check.isProven());
    }

    /** Guards against a copy of the last response that is taken for the response to the check. */
    @Test
    void responseThatMayBeACopyProvesNothing() {
        check.responseEnded(HEALTHY);
        check.checkSent();
        assertFalse(check.accept(HEALTHY));
        assertFalse(check.isProven());
    }

    /** Guards against a copy that comes later than the response to the check. */
    @Test
    void copyOfTheLastResponseAndOfThatToTheCheckIsRecognizedAfterTheCheck() {
        check.responseEnded(RESPONSE);
        assertFalse(check.mayBeCopy(RESPONSE));
        check.checkSent();
        check.accept(HEALTHY);
        assertTrue(check.mayBeCopy(HEALTHY));
        assertTrue(check.mayBeCopy(RESPONSE));
        assertFalse(check.mayBeCopy(OTHER));
    }

    /** Guards against a copy from before the last response that is taken for the response to a later check. */
    @Test
    void laterCheckHasToLookLikeTheFirst() {
        check.responseEnded(RESPONSE);
        check.checkSent();
        check.accept(HEALTHY);
        check.responseEnded(OTHER);
        check.checkSent();
        assertFalse(check.accept(RESPONSE));
        assertFalse(check.isProven());
        assertTrue(check.accept(HEALTHY));
        assertTrue(check.mayBeCopy(RESPONSE));
    }

    @Test
    void whatFollowsAPossibleCopyShowsWhetherItWasOne() {
        check.responseEnded(RESPONSE);
        check.checkSent();
        check.accept(HEALTHY);
        check.confirmationSent();
        assertFalse(check.confirm(RESPONSE, OTHER));
        assertTrue(check.isConfirming());
        assertTrue(check.confirm(RESPONSE, new Fingerprint(200, 0, 1, 2)), "the headers may have another date");
        assertTrue(check.isProven());
    }
}
