/** Entry point of the proof: runs cases of the fault matrix and writes the page of results. */
package pistachiopass.proof

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.multiple
import kotlinx.coroutines.runBlocking
import pistachiopass.proof.matrix.CaseRunner
import pistachiopass.proof.matrix.ProofCase
import pistachiopass.proof.matrix.ProofPage
import pistachiopass.proof.matrix.caseOf
import pistachiopass.proof.matrix.matrixCases
import pistachiopass.proof.matrix.outcome
import pistachiopass.proof.matrix.pairCase
import java.nio.file.Path

/** Runs the cases that the arguments name, or the whole matrix. */
public fun main(args: Array<String>) {
    val parser = ArgParser("proof")
    val seed by parser.option(ArgType.Int, description = "Seed of the traffic, or of a pair").default(1)
    val cases by parser.option(ArgType.String, "case", description = "Name of one case; may be repeated").multiple()
    val pairs by parser.option(ArgType.Int, description = "Number of random pairs, from the seed on").default(0)
    val isList by parser.option(ArgType.Boolean, "list", description = "Prints the names of the cases").default(false)
    val results by parser.option(ArgType.String, description = "JSON file that keeps the results")
    val page by parser.option(ArgType.String, description = "Markdown file that is generated from all results kept")
    parser.parse(args)
    val chosen = casesOf(cases, pairs, seed.toLong())
    if (isList) {
        chosen.forEach { println(it.name) }
    } else {
        run(chosen, ProofPage(results?.let { Path.of(it) }, page?.let { Path.of(it) }))
    }
}

private fun casesOf(names: List<String>, pairs: Int, seed: Long): List<ProofCase> = when {
    names.isNotEmpty() -> names.map { caseOf(it, seed) }
    pairs > 0 -> List(pairs) { pairCase(seed + it) }
    else -> matrixCases(seed)
}

private fun run(cases: List<ProofCase>, page: ProofPage): Unit = runBlocking {
    val runner = CaseRunner(Path.of(System.getProperty("java.io.tmpdir"), "pistachiopass-proof"))
    cases.forEach { case ->
        val outcome = runner.run(case).outcome()
        println("${outcome.verdict} ${case.name} seed ${case.seed} ${outcome.seen}")
        page.add(outcome)
    }
}
