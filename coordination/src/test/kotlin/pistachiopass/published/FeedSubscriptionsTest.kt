/** Tests which updates an instance takes for answers to its subscriptions. */
package pistachiopass.published

import org.junit.jupiter.api.Test
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class FeedSubscriptionsTest {
    @Test
    fun `an answer to a process that ran at the host before confirms nothing`() {
        val (before, after) = List(2) { FeedSubscriptions<String>({ 0 }) }
        val old = before.subscribe(listOf("source"), position = null).single().second
        val new = after.subscribe(listOf("source"), position = null).single().second
        assertNull(after.confirmedMillisOrNull("source", answerTo(old)))
        assertNotNull(after.confirmedMillisOrNull("source", answerTo(new)))
    }

    private fun answerTo(subscription: FeedSubscription) =
        FeedUpdate(subscription.nonce, elapsedMillis = 900, ageMillis = 0, Revision(1), Revision(1), emptyList())
}
