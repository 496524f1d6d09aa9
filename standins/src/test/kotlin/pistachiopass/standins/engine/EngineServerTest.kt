/** Checks the stand-in engine over HTTP on the loopback interface. */
package pistachiopass.standins.engine

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.delete
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.preparePost
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpStatusCode
import io.ktor.utils.io.readLine
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import java.io.IOException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNotEquals

class EngineServerTest {
    @Test
    fun `streams hold every token once and in order`() = withEngine {
        for (answerTokens in listOf(1, 7, 300)) {
            val answer = complete(answerTokens)
            assertEquals(expectedOffsets(answerTokens), offsetsOf(answer.bodyAsText()), "$answerTokens tokens")
            assertEquals(answer.headers["X-Start-Id"], load().startId)
        }
    }

    @Test
    fun `the priority of the header goes before that of the body`() = withEngine {
        for (headerValue in listOf("0", "3", null, "high")) {
            client.post("$url/v1/chat/completions") {
                completion(answerTokens = 1)
                headerValue?.let { header("X-Priority", it) }
            }
        }
        val inBody = """{"model":"drape-8b","messages":[{"role":"user","content":"x"}],"max_tokens":1,"priority":2}"""
        client.post("$url/v1/chat/completions") { setBody(inBody) }
        client.post("$url/v1/chat/completions") {
            header("X-Priority", "1")
            setBody(inBody)
        }
        assertEquals(listOf(0, 3, DEFAULT_PRIORITY, DEFAULT_PRIORITY, 2, 1), record().requests.map { it.priority })
    }

    private class Resumption(val offset: Int, val offsets: List<Int>)

    @Test
    fun `finished streams can be resumed from any offset until they are cancelled`() = withEngine {
        val streamId = complete(answerTokens = 3).headers["X-Stream-Id"]
        val cases = listOf(Resumption(0, listOf(0, 1, 2, 3)), Resumption(2, listOf(2, 3)), Resumption(3, listOf(3)))
        for (case in cases) {
            val answer = client.get("$url/v1/streams/$streamId?offset=${case.offset}")
            assertEquals(case.offsets, offsetsOf(answer.bodyAsText()), "offset ${case.offset}")
        }
        assertEquals(HttpStatusCode.NoContent, client.delete("$url/v1/streams/$streamId").status)
        assertEquals(HttpStatusCode.Gone, client.get("$url/v1/streams/$streamId").status)
        assertEquals(HttpStatusCode.NotFound, client.delete("$url/v1/streams/$streamId").status)
        assertEquals(0, load().usedTokens)
    }

    @Test
    fun `a dropped reader ends no stream and a cancelled request frees its memory`() = withEngine(
        SLOW_TOKENS_PER_SECOND
    ) {
        val streamId = startAndDrop(answerTokens = 1_000)
        assertEquals(listOf("r1"), load().requests.map { it.id })
        assertEquals(HttpStatusCode.NoContent, client.delete("$url/v1/requests/r1").status)
        assertEquals(HttpStatusCode.Gone, client.get("$url/v1/streams/$streamId").status)
        assertEquals(emptyList(), load().requests)
        assertEquals(listOf("cancelled"), record().requests.map { it.outcome })
    }

    @Test
    fun `an overloaded engine resets its callers and comes back cold`() = withEngine {
        val startId = load().startId
        assertFailsWith<IOException> { complete(answerTokens = 1, promptCharacters = 4 * 200_001).bodyAsText() }
        assertNotEquals(startId, load().startId)
        assertEquals(true, load().cold)
        assertEquals(listOf("lost"), record().requests.map { it.outcome })
        assertEquals(1, record().fallOvers)
    }

    @Test
    fun `a reader that takes nothing does not hold up its stream`() = withEngine {
        client.preparePost("$url/v1/chat/completions") { completion(answerTokens = 40_000) }.execute {
            while (record().requests.single().outcome != "finished") delay(POLL_MILLIS)
            assertEquals(40_000, record().requests.single().tokens)
        }
    }

    private class OrderCase(val body: String, val status: HttpStatusCode, val answer: String)

    @Test
    fun `orders are answered by their fencing number and their completeness`() = withEngine {
        val cases = listOf(
            OrderCase(
                """{"kind":"load-model","model":"m2","version":"1","fencingNumber":12}""",
                HttpStatusCode.OK,
                """{"applied":true}""",
            ),
            OrderCase(
                """{"kind":"unload-model","model":"m2","fencingNumber":11}""",
                HttpStatusCode.Conflict,
                """{"applied":false,"fencingNumber":12}""",
            ),
            OrderCase(
                """{"kind":"set-role","fencingNumber":13}""",
                HttpStatusCode.BadRequest,
                """{"error":{"code":"bad_request","message":"the body is no complete order"}}""",
            ),
        )
        for (case in cases) {
            val answer = client.post("$url/v1/orders") { setBody(case.body) }
            assertEquals(case.status to case.answer, answer.status to answer.bodyAsText(), case.body)
        }
        assertEquals(listOf("drape-8b", "m2"), load().models)
    }

    @Test
    fun `a stream goes on under its id on the engine that imports its KV cache`() = withEngine(SLOW_TOKENS_PER_SECOND) {
        val source = this
        val streamId = startAndDrop(answerTokens = 1_000)
        val cache = client.get("$url/v1/kv/r1").bodyAsText()
        withEngine {
            assertEquals(HttpStatusCode.OK, client.put("$url/v1/kv/r1") { setBody(cache) }.status)
            assertEquals(HttpStatusCode.Conflict, client.put("$url/v1/kv/r1") { setBody(cache) }.status)
            assertEquals(HttpStatusCode.BadRequest, client.put("$url/v1/kv/r2") { setBody(cache) }.status)
            val body = client.get("$url/v1/streams/$streamId?offset=990").bodyAsText()
            assertEquals((990..1_000).toList(), offsetsOf(body))
        }
        assertEquals(HttpStatusCode.NotFound, source.client.get("${source.url}/v1/kv/unknown").status)
    }

    private class ChunkFault(val fault: String, val offsets: List<Int>)

    @Test
    fun `chunk faults disturb the order and the number of chunks`() = withEngine {
        val cases = listOf(
            ChunkFault(LATE_CHUNKS, listOf(0, 2, 3, 4, 1)),
            ChunkFault(DUPLICATE_CHUNKS, listOf(0, 1, 1, 2, 3, 4)),
        )
        for (case in cases) {
            fault(case.fault, """"millis":60000""")
            assertEquals(case.offsets, offsetsOf(complete(answerTokens = 4).bodyAsText()), case.fault)
            fault(case.fault, """"on":false""")
        }
    }

    @Test
    fun `restart and cold differ in the start id`() = withEngine {
        val startId = load().startId
        fault(COLD)
        assertEquals(startId to true, load().startId to load().cold)
        fault(RESTART)
        assertNotEquals(startId, load().startId)
        fault(NO_LOAD)
        assertEquals(HttpStatusCode.ServiceUnavailable, client.get("$url/v1/load").status)
    }
}

private const val POLL_MILLIS: Long = 20

/** Speed at which answers of the tests end soon. */
private const val FAST_TOKENS_PER_SECOND: Long = 20_000

/** Speed at which an answer is sure to be unfinished while a test acts on it. */
private const val SLOW_TOKENS_PER_SECOND: Long = 1

private class EngineFixture(val client: HttpClient, val url: String) {
    suspend fun complete(answerTokens: Int, promptCharacters: Int = 10): HttpResponse =
        client.post("$url/v1/chat/completions") { completion(answerTokens, promptCharacters) }

    /** Starts a streamed answer, reads its first line, drops the connection and returns the stream id. */
    suspend fun startAndDrop(answerTokens: Int): String? =
        client.preparePost("$url/v1/chat/completions") { completion(answerTokens) }.execute {
            it.bodyAsChannel().readLine()
            it.headers["X-Stream-Id"]
        }

    suspend fun load(): LoadReport = ENGINE_JSON.decodeFromString(client.get("$url/v1/load").bodyAsText())

    suspend fun record(): RecordReport = ENGINE_JSON.decodeFromString(client.get("$url/admin/record").bodyAsText())

    suspend fun fault(name: String, more: String = """"on":true""") {
        val answer = client.post("$url/admin/faults") { setBody("""{"fault":"$name",$more}""") }
        assertEquals(HttpStatusCode.OK, answer.status, name)
    }
}

private fun HttpRequestBuilder.completion(answerTokens: Int, promptCharacters: Int = 10) {
    val content = "x".repeat(promptCharacters)
    header("X-Request-Id", "r1")
    setBody(
        """{"model":"drape-8b","messages":[{"role":"user","content":"$content"}],""" +
            """"max_tokens":$answerTokens,"stream":true}""",
    )
}

private fun withEngine(
    decodeTokensPerSecond: Long = FAST_TOKENS_PER_SECOND,
    test: suspend EngineFixture.() -> Unit,
): Unit = runBlocking(Dispatchers.Default) {
    val settings = EngineSettings(
        startCold = false,
        loadLagMillis = 0,
        decodeTokensPerSecond = decodeTokensPerSecond,
        modelLoadMillis = 1,
    )
    val server = EngineServer(settings, port = 0)
    val url = "http://127.0.0.1:${server.start(this)}"
    HttpClient(CIO).use { EngineFixture(it, url).test() }
    server.stop()
    coroutineContext.cancelChildren()
}

private fun expectedOffsets(answerTokens: Int): List<Int> = (0..answerTokens).toList()

/** Returns the offsets of all events, after checking that the texts belong to stream and offset. */
private fun offsetsOf(body: String): List<Int> {
    val events = body.trimEnd().split("\n\n")
    assertEquals("data: [DONE]", events.last())
    return events.dropLast(1).map { event ->
        val (id, data) = event.split('\n')
        val (streamId, offset) = id.removePrefix("id: ").split(':')
        val choice = ENGINE_JSON.decodeFromString<ChatCompletionChunk>(data.removePrefix("data: ")).choices.single()
        if (choice.finishReason == null) assertEquals(tokenText(streamId, offset.toInt()), choice.delta.content)
        offset.toInt()
    }
}
