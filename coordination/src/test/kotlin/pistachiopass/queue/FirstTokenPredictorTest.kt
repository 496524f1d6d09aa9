/** Tests of the prediction of the time to first token. */
package pistachiopass.queue

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class FirstTokenPredictorTest {
    private class Speed(val constant: Double, val prompt: Double, val ahead: Double)

    @TestFactory
    fun `the prediction approaches the true coefficients`() = listOf(
        Speed(constant = 30.0, prompt = 0.02, ahead = 0.01),
        Speed(constant = 200.0, prompt = 0.4, ahead = 0.0),
        Speed(constant = 0.0, prompt = 0.05, ahead = 0.3),
    ).mapIndexed { seed, speed ->
        DynamicTest.dynamicTest("seed $seed") {
            val predictor = firstTokenPredictorOf()
            predictor.train(speed, seed)
            listOf(1_000L to 0L, 4_000L to 50_000L, 100_000L to 0L, 100_000L to 400_000L).forEach { (prompt, ahead) ->
                val expected = speed.constant + speed.prompt * prompt + speed.ahead * ahead
                val predicted = predictor.firstTokenMillis(prompt, ahead)
                assertTrue(
                    predicted in (expected * 0.8 - 40).toLong()..(expected * 1.2 + 40).toLong(),
                    "$predicted of $expected"
                )
            }
        }
    }

    @Test
    fun `an untrained predictor uses the defaults, and zero for a request with none queued before it`() {
        val predictor = firstTokenPredictorOf()
        assertEquals(0, predictor.firstTokenMillis(1_000_000, 0))
        assertEquals(100 + 400 + 1_000, predictor.firstTokenMillis(4_000, 10_000))
    }

    @Test
    fun `cold starts and single outliers have little effect`() {
        val predictor = firstTokenPredictorOf()
        predictor.train(Speed(constant = 30.0, prompt = 0.02, ahead = 0.01), seed = 4)
        val before = predictor.firstTokenMillis(10_000, 0)
        predictor.addSample(FirstTokenSample(10_000, 0, 600_000, isCold = true))
        predictor.addSample(FirstTokenSample(10_000, 0, 10, isAbandoned = true))
        assertEquals(before, predictor.firstTokenMillis(10_000, 0))
        predictor.addSample(FirstTokenSample(10_000, 0, 600_000))
        assertTrue(predictor.firstTokenMillis(10_000, 0) < 2 * before)
    }

    @Test
    fun `an endpoint that was slow is tried again after all its requests were refused`() {
        val predictor = firstTokenPredictorOf()
        repeat(20) { predictor.addSample(FirstTokenSample(2_000, 0, 60_000)) }
        assertTrue(predictor.firstTokenMillis(2_000, 0) > 30_000)
        repeat(20) { predictor.onRefused(tokensAhead = 5_000) }
        assertTrue(predictor.firstTokenMillis(2_000, 0) > 30_000)
        repeat(8) { predictor.onRefused(tokensAhead = 0) }
        assertEquals(0, predictor.firstTokenMillis(2_000, 0))
        predictor.addSample(FirstTokenSample(2_000, 0, 40))
        assertTrue(predictor.isTrained)
    }

    @Test
    fun `the prediction follows an endpoint that has become slower`() {
        val predictor = firstTokenPredictorOf()
        predictor.train(Speed(constant = 30.0, prompt = 0.02, ahead = 0.01), seed = 5)
        predictor.train(Speed(constant = 30.0, prompt = 0.4, ahead = 0.2), seed = 6)
        assertTrue(predictor.firstTokenMillis(10_000, 0) in 3_200..4_900)
    }

    private fun FirstTokenPredictor.train(speed: Speed, seed: Int) {
        val random = Random(seed)
        repeat(200) {
            val prompt = random.nextLong(1_000, 100_000)
            val ahead = if (random.nextBoolean()) 0 else random.nextLong(0, 400_000)
            val millis = speed.constant + speed.prompt * prompt + speed.ahead * ahead
            addSample(FirstTokenSample(prompt, ahead, (millis * random.nextDouble(0.8, 1.2)).toLong()))
        }
    }
}
