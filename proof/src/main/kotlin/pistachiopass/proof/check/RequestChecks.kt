/** Checks of what callers were told against what endpoints ran. */
package pistachiopass.proof.check

import pistachiopass.model.RequestId
import pistachiopass.model.Verdict
import pistachiopass.proof.history.ChunkReceived
import pistachiopass.proof.history.History
import pistachiopass.proof.history.RequestAnswered
import pistachiopass.proof.history.RequestRefused
import pistachiopass.proof.history.RequestRun
import pistachiopass.proof.history.RequestSent

/** Finds requests that ended after their deadline or not at all. */
internal fun findLateEnds(history: History): List<Finding> {
    val ends = history.requestEnds()
    return history.all<RequestSent>().mapNotNull { sent ->
        val limitMillis = sent.deadlineMillis + DEADLINE_SLACK_MILLIS
        val endMillis = ends[sent.request]
        when {
            endMillis != null && endMillis > limitMillis ->
                Finding(endMillis, "${sent.request} ended ${endMillis - sent.deadlineMillis} ms after its deadline")
            endMillis == null && history.endMillis > limitMillis ->
                Finding(limitMillis, "${sent.request} never ended")
            else -> null
        }
    }
}

/** Finds answers with gaps, doubles or tokens of another request. */
internal fun findFlawedAnswers(history: History): List<Finding> {
    val chunks = history.all<ChunkReceived>().groupBy { it.request }
    val requestOfStream =
        history.all<RequestRun>().filter { it.stream != null }.associate { it.stream.orEmpty() to it.request }
    val flawed = chunks.values.mapNotNull { findFlawedStream(it, requestOfStream) }
    val incomplete = history.all<RequestAnswered>().mapNotNull { answer ->
        findFlawedEnd(answer, chunks[answer.request].orEmpty().size.toLong())
    }
    return flawed + incomplete
}

private fun findFlawedStream(chunks: List<ChunkReceived>, requestOfStream: Map<String, RequestId>): Finding? {
    val first = chunks.first()
    chunks.forEachIndexed { place, chunk ->
        val served = requestOfStream[chunk.stream] ?: chunk.request
        val flaw = when {
            served != chunk.request -> "received a token of $served"
            chunk.stream != first.stream -> "received tokens of two streams"
            chunk.offset != place.toLong() -> "received token ${chunk.offset} in place of $place"
            else -> null
        }
        if (flaw != null) return Finding(chunk.atMillis, "${chunk.request} $flaw")
    }
    return null
}

private fun findFlawedEnd(answer: RequestAnswered, received: Long): Finding? {
    val answered = answer.answeredRequest ?: answer.request
    return when {
        answered != answer.request ->
            Finding(answer.atMillis, "${answer.request} received the answer to $answered")
        answer.tokens != null && answer.tokens != received ->
            Finding(answer.atMillis, "${answer.request} ended with $received of ${answer.tokens} tokens")
        else -> null
    }
}

/** Finds requests that were refused as not run although an endpoint ran them. */
internal fun findFalseNotRun(history: History): List<Finding> {
    val runs = history.all<RequestRun>().associateBy { it.request }
    return history.all<RequestRefused>().filter { it.verdict == Verdict.NOT_RUN }.mapNotNull { refused ->
        runs[refused.request]?.let { run ->
            Finding(refused.atMillis, "${refused.request} was refused as not run, but ${run.endpoint} ran it")
        }
    }
}

/** Finds bookings that ran more than once, at one endpoint or at several. */
internal fun findDoubledBookings(history: History): List<Finding> =
    history.all<RequestRun>().filter { it.booking != null }.groupBy { it.booking }.mapNotNull { (booking, runs) ->
        val count = runs.sumOf { it.count }
        Finding(runs.last().atMillis, "booking $booking ran $count times").takeIf { count > 1 }
    }

/** Time that the last bytes of an answer may take on a busy machine after the deadline. */
private const val DEADLINE_SLACK_MILLIS: Long = 1_000
