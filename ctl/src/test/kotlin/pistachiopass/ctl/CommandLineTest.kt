/** Exit codes and output of the commands, over the example files and instances on loopback. */
package pistachiopass.ctl

import com.sun.net.httpserver.HttpServer
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.io.ByteArrayOutputStream
import java.io.File
import java.io.PrintStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import kotlin.io.path.createTempFile
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

internal class Run(val exitCode: Int, val output: String, val errors: String)

internal fun run(args: List<String>): Run {
    val output = ByteArrayOutputStream()
    val errors = ByteArrayOutputStream()
    val exitCode = runCommandLine(args, Console(PrintStream(output), PrintStream(errors)))
    return Run(exitCode, output.toString(), errors.toString())
}

private val examples = File(System.getProperty("workspace.root"), "examples")

private fun files(fleet: String): List<String> =
    listOf("routes", "pools", "instances").flatMap { listOf("--$it", "$examples/$fleet/$it.json") }

class CommandLineTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `a command line has its exit code and output`(case: CommandCase) {
        val run = run(case.args)
        assertEquals(case.exitCode, run.exitCode, "${case.args}: ${run.errors}")
        assertContains(run.output, case.output)
        assertContains(run.errors, case.errors)
        if (case.errors.isEmpty()) assertEquals("", run.errors)
    }

    @Test
    fun `check names each problem and its place`() {
        val text = File(examples, "vandermolen/routes.json").readText().replace("\"job-desk\",", "\"job-desks\",")
        val routes = createTempFile().apply { writeText(text) }
        val run = run(listOf("check", "--json", "--routes", "$routes") + files("vandermolen").drop(2))
        assertEquals(EXIT_PROBLEMS, run.exitCode)
        assertContains(run.errors, "error: routes: routes[1].pool (route pickups): found job-desks, expected a pool")
        assertContains(run.output, "\"place\": \"routes[1].pool\"")
    }

    @Test
    fun `quarantine shows and lifts the parts of an instance`() {
        val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0)
        var parts = """[{"part":"p1","ageMillis":9,"remainingMillis":5,"strikes":1,"runs":4,"refused":7}]"""
        server.createContext("/quarantine") { exchange ->
            val isKnown = exchange.requestMethod == "GET" || exchange.requestURI.path == "/quarantine/p1"
            if (exchange.requestMethod == "DELETE" && isKnown) parts = "[]"
            exchange.sendResponseHeaders(if (isKnown) 200 else 404, parts.length.toLong())
            exchange.responseBody.use { it.write(parts.encodeToByteArray()) }
        }
        server.start()
        val command = listOf("quarantine", "--address", "127.0.0.1:${server.address.port}")
        try {
            assertContains(run(command).output, "part p1: 4 endpoints ended, quarantined 9 ms ago")
            assertContains(run(command + "--json").output, "\"refused\": 7")
            val unknown = run(command + listOf("--lift", "p2"))
            assertEquals(EXIT_PROBLEMS, unknown.exitCode)
            assertContains(unknown.errors, "part p2 is not quarantined")
            assertContains(run(command + listOf("--lift", "p1")).output, "no part is quarantined")
        } finally {
            server.stop(0)
        }
    }

    @Test
    fun `status shows the instances that answer beside those that do not`() {
        val loopback = InetAddress.getLoopbackAddress()
        val tables = """[{"name":"pools","version":7},{"name":"configuration","version":8,"isOutdated":true}]"""
        val unread = """[{"path":"routes[1].pathPrefix","problem":"not-a-string"}]"""
        val store = """{"era":2,"revision":790,"heldItems":5}"""
        val status =
            """{"instance":"entry-1","dataCentre":"detroit","later":1,"tables":$tables,"unread":$unread,""" +
                """"store":$store}"""
        val healthy = HttpServer.create(InetSocketAddress(loopback, 0), 0)
        healthy.createContext("/status") { exchange ->
            exchange.sendResponseHeaders(200, status.length.toLong())
            exchange.responseBody.use { it.write(status.encodeToByteArray()) }
        }
        healthy.start()
        // The backlog accepts the connection; nothing ever answers on it.
        ServerSocket(0, 1, loopback).use { silent ->
            val addresses = listOf(
                silent.localPort,
                healthy.address.port
            ).flatMap { listOf("--address", "127.0.0.1:$it") }
            val run = run(listOf("status", "--timeout-millis", "3000") + addresses)
            healthy.stop(0)
            assertEquals(EXIT_PROBLEMS, run.exitCode)
            assertContains(run.output, "instance entry-1 in detroit")
            assertContains(run.output, "table pools: version 7, never confirmed\n")
            assertContains(run.output, "table configuration: version 8, never confirmed, outdated")
            assertContains(run.output, "not read: routes[1].pathPrefix: not-a-string")
            assertContains(run.output, "store: era 2, revision 790, 5 items held from an earlier era")
            assertContains(run.errors, "127.0.0.1:${silent.localPort}: no answer within 3000 ms")
        }
    }

    data class CommandCase(
        val args: List<String>,
        val exitCode: Int,
        val output: String = "",
        val errors: String = "",
    )

    companion object {
        private fun explain(vararg args: String): List<String> =
            listOf("explain") + files("vandermolen") + listOf("--workspace", "w") + args

        @JvmStatic
        fun cases(): List<CommandCase> =
            listOf(
                CommandCase(listOf("--version"), EXIT_OK, output = "pistachioctl 0.1.0"),
                CommandCase(listOf("check", "--version"), EXIT_OK, output = "pistachioctl 0.1.0"),
                CommandCase(listOf("--help"), EXIT_OK, output = "Subcommands"),
                CommandCase(listOf("check", "--help"), EXIT_OK, output = "--routes"),
                CommandCase(emptyList(), EXIT_USAGE, errors = "Subcommands"),
                CommandCase(listOf("chek"), EXIT_USAGE, errors = "chek"),
                CommandCase(listOf("check", "--routes", "r"), EXIT_USAGE, errors = "pools"),
                CommandCase(listOf("check", "--routes", "/none", "--pools", "/none"), EXIT_USAGE, errors = "--routes"),
                CommandCase(listOf("check") + files("vandermolen"), EXIT_OK, output = "no problems"),
                CommandCase(listOf("check") + files("wieniec"), EXIT_OK, output = "no problems"),
                CommandCase(explain("--path", "/pickups/7", "--data-centre", "detroit"), EXIT_OK, "endpoint: desk-2 "),
                CommandCase(explain("--path", "/jobs", "--json"), EXIT_OK, output = "\"endpoint\": \"desk-1\""),
                CommandCase(explain("--path", "/none"), EXIT_PROBLEMS, output = "route: none matches"),
                CommandCase(
                    explain("--path", "/v1/chat/completions", "--model", "drape-8b", "--prompt-tokens", "400001"),
                    EXIT_PROBLEMS,
                    output = "drape-8b-01: request exceeds the endpoint's memory",
                ),
                CommandCase(explain("--path", "/jobs", "--data-centre", "x"), EXIT_USAGE, errors = "--data-centre x"),
                CommandCase(explain("--path", "/", "--prompt-tokens", "-1"), EXIT_USAGE, errors = "--prompt-tokens -1"),
                CommandCase(listOf("quarantine", "--address", "x"), EXIT_USAGE, errors = "--address x: expected HOST"),
                CommandCase(listOf("quarantine"), EXIT_USAGE, errors = "address"),
                CommandCase(listOf("losses", "--help"), EXIT_OK, output = "ROUTE=FIRST,GAP"),
                CommandCase(listOf("losses"), EXIT_USAGE, errors = "file"),
                CommandCase(listOf("status", "--address", "nowhere"), EXIT_USAGE, errors = "--address nowhere"),
            )
    }
}
