/** Table of faults on answer streams: what the caller gets is compared with what the engine says it produced. */
package pistachiopass.proof.stream

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import io.ktor.utils.io.readLine
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import pistachiopass.entry.Daemon
import pistachiopass.entry.endpoint.LoadReport
import pistachiopass.entry.settings.LimitSettings
import pistachiopass.entry.settings.Settings
import pistachiopass.model.DataCentreId
import pistachiopass.model.Instance
import pistachiopass.model.InstanceId
import pistachiopass.model.InstanceList
import pistachiopass.proof.harness.FreePorts
import pistachiopass.standins.engine.EngineServer
import pistachiopass.standins.engine.EngineSettings
import pistachiopass.standins.platform.DocumentStore
import pistachiopass.standins.platform.startPlatform
import java.util.Base64
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class StreamFaultsTest {
    private val scope = CoroutineScope(Dispatchers.Default)
    private val client = HttpClient(CIO) {
        expectSuccess = false
        engine { requestTimeout = 0 }
    }
    private var enginePort = 0
    private val daemons = mutableListOf<Daemon>()
    private val httpPorts = mutableListOf<Int>()

    @BeforeAll
    fun start(): Unit = runBlocking {
        val engine = EngineSettings(models = listOf("m"), startCold = false, loadLagMillis = 0)
        enginePort = EngineServer(engine, 0).start(scope)
        val store = DocumentStore()
        store.put("routes", Json.parseToJsonElement(ROUTES))
        store.put("pools", Json.parseToJsonElement(pools(enginePort)))
        val platform = startPlatform(0, store)
        val all = List(2) { index -> settings("i$index", platform.port) }
        store.put("instances", Json.parseToJsonElement(instances(all)))
        all.forEach { settings ->
            httpPorts += settings.httpAddress.substringAfter(':').toInt()
            daemons += Daemon(settings).also { it.start() }
        }
        withTimeout(START_LIMIT_MILLIS) { chat("probe") }
    }

    @AfterAll
    fun stop(): Unit = runBlocking {
        daemons.forEach { it.stop() }
        scope.cancel()
        client.close()
    }

    @ParameterizedTest
    @MethodSource("faults")
    fun `the answer is whole whatever happens to the connection`(case: FaultCase) = runBlocking {
        switch(case.setting)
        try {
            assertWhole(withTimeout(DEADLINE_MILLIS) { chat("fault") })
        } finally {
            switch("""{"fault":"${case.name}","on":false}""")
        }
    }

    @Test
    fun `a stream whose connection falls silent is taken up again`() = runBlocking {
        switch("""{"fault":"slow","on":true,"millis":20}""")
        val answer = withTimeout(DEADLINE_MILLIS) {
            readWhile(httpPorts[0], "silent") { lines ->
                if (lines.size == 6) switch("""{"fault":"silence","on":true}""")
                true
            }
        }
        switch("""{"fault":"slow","on":false}""")
        switch("""{"fault":"silence","on":false}""")
        assertWhole(answer)
    }

    @Test
    fun `a stream that an engine lost ends in an explicit error event`() = runBlocking {
        switch("""{"fault":"slow","on":true,"millis":20}""")
        val answer = withTimeout(DEADLINE_MILLIS) {
            readWhile(httpPorts[0], "restarted") { lines ->
                if (lines.size == 6) switch("""{"fault":"restart","on":true}""")
                true
            }
        }
        switch("""{"fault":"slow","on":false}""")
        assertTrue("event: error" in answer.text, answer.text)
        assertTrue("\"verdict\":\"may have run\"" in answer.text, answer.text)
    }

    @Test
    fun `a caller resumes at another instance and gets each token once`() = runBlocking {
        switch("""{"fault":"slow","on":true,"millis":20}""")
        val first = readWhile(httpPorts[0], "resumed") { lines -> lines.count { it.startsWith("data:") } < 5 }
        val second = resume(httpPorts[1], first.lastId, WORKSPACE)
        switch("""{"fault":"slow","on":false}""")
        val text = first.tokens + second.tokens
        assertTrue(second.text.contains("[DONE]") || second.text.contains("error"), second.text)
        assertEquals(text.indices.toList(), text.map { it.substringAfterLast('-').trim().toInt() })
    }

    @Test
    fun `an id of another workspace is refused`() = runBlocking {
        val answer = chat("foreign")
        val refused = resume(httpPorts[1], answer.lastId, "other")
        assertTrue("\"not_authorized\"" in refused.text && "\"not run\"" in refused.text, refused.text)
    }

    @Test
    fun `a caller that hangs up frees the engine`() = runBlocking {
        switch("""{"fault":"slow","on":true,"millis":100}""")
        readWhile(httpPorts[0], "gone") { lines -> lines.count { it.startsWith("data:") } < 2 }
        withTimeout(FREE_LIMIT_MILLIS) { while (held().isNotEmpty()) delay(20) }
        switch("""{"fault":"slow","on":false}""")
    }

    private fun assertWhole(answer: Answer) {
        assertTrue("event: error" !in answer.text, answer.text)
        assertTrue(answer.text.trimEnd().endsWith("data: [DONE]"), answer.text)
        val stream = answer.tokens.first().substringBeforeLast('-')
        assertEquals(List(TOKENS) { "$stream-$it " }, answer.tokens)
    }

    private suspend fun chat(prompt: String): Answer = readWhile(httpPorts[0], prompt) { true }

    /** Asks until the request is placed; the load report of an earlier case may still show the engine full. */
    private suspend fun readWhile(port: Int, prompt: String, more: suspend (List<String>) -> Boolean): Answer {
        var answer = readOnce(port, prompt, more)
        while ("\"overloaded\"" in answer.text) {
            delay(100)
            answer = readOnce(port, prompt, more)
        }
        return answer
    }

    private suspend fun readOnce(port: Int, prompt: String, more: suspend (List<String>) -> Boolean): Answer =
        client.preparePost("http://127.0.0.1:$port/v1/chat/completions") {
            header("X-Workspace", WORKSPACE)
            header(HttpHeaders.ContentType, "application/json")
            val content = """[{"role":"user","content":"$prompt"}]"""
            setBody("""{"model":"m","stream":true,"max_tokens":$TOKENS,"messages":$content}""")
        }.execute { response ->
            val lines = mutableListOf<String>()
            val input = response.bodyAsChannel()
            while (more(lines)) lines += input.readLine() ?: break
            Answer(lines)
        }

    private suspend fun resume(port: Int, lastEventId: String, workspace: String): Answer {
        val response = client.post("http://127.0.0.1:$port/v1/chat/completions") {
            header("X-Workspace", workspace)
            header("Last-Event-ID", lastEventId)
        }
        return Answer(response.bodyAsText().lines())
    }

    private suspend fun held(): List<Any> {
        val report = client.get("http://127.0.0.1:$enginePort/v1/load").bodyAsText()
        return Json { ignoreUnknownKeys = true }.decodeFromString<LoadReport>(report).requests
    }

    private suspend fun switch(setting: String) {
        client.post("http://127.0.0.1:$enginePort/admin/faults") {
            header(HttpHeaders.ContentType, "application/json")
            setBody(setting)
        }
    }

    class FaultCase(val name: String, val setting: String) {
        override fun toString(): String = setting
    }

    private class Answer(lines: List<String>) {
        val text = lines.joinToString("\n")
        val lastId = lines.lastOrNull { it.startsWith("id: ") }.orEmpty().removePrefix("id: ")
        val tokens = lines.filter {
            it.startsWith(
                "data: {\"id\""
            )
        }.mapNotNull { contentOrNull(it.removePrefix("data: ")) }

        private fun contentOrNull(data: String): String? =
            Json.parseToJsonElement(data).jsonObject["choices"]?.jsonArray?.first()?.jsonObject
                ?.get("delta")?.jsonObject?.get("content")?.jsonPrimitive?.content
    }

    companion object {
        private const val TOKENS = 40
        private const val WORKSPACE = "w"
        private const val START_LIMIT_MILLIS = 60_000L
        private const val DEADLINE_MILLIS = 30_000L

        /** A second, as the users state it, and the report's own delay. */
        private const val FREE_LIMIT_MILLIS = 2_000L

        private const val ROUTES =
            """{"routes":[{"name":"r","match":{"pathPrefix":"/v1/chat"},"pool":"p","timeoutMillis":30000}]}"""

        private fun pools(port: Int) = """{"pools":[{"name":"p","kind":"model","endpoints":[{"id":"e1",
            "dataCentre":"d","address":"127.0.0.1:$port","budgetTokens":200000,"coldBudgetTokens":20000,
            "coldSlots":2}]}]}"""

        private fun instances(all: List<Settings>): String =
            Json.encodeToString(
                InstanceList(all.map { Instance(it.instance, it.dataCentre, it.httpAddress, it.peerAddress) }),
            )

        private fun settings(name: String, platformPort: Int) = Settings(
            InstanceId(name),
            DataCentreId("d"),
            httpAddress = ports.address(),
            peerAddress = ports.address(),
            adminAddress = ports.address(),
            platformAddress = "127.0.0.1:$platformPort",
            sharedKey = Base64.getEncoder().encodeToString(ByteArray(32) { it.toByte() }),
            limits = LimitSettings(readIdleMillis = 500),
        )

        private val ports = FreePorts()

        @JvmStatic
        fun faults(): List<FaultCase> = listOf(
            FaultCase("late-chunks", """{"fault":"late-chunks","on":true,"millis":30,"count":5}"""),
            FaultCase("duplicate-chunks", """{"fault":"duplicate-chunks","on":true,"count":5}"""),
            FaultCase("truncate", """{"fault":"truncate","on":true,"count":1,"afterBytes":2000}"""),
            FaultCase("slow", """{"fault":"slow","on":true,"millis":10}"""),
        )
    }
}
