/** Least-squares fit over a stream of samples with exponentially decaying weights and a prior that does not decay. */
package pistachiopass.queue

import kotlin.math.abs

/** Fits non-negative coefficients; [decayFactor] is the weight of a sample relative to that of the next one. */
internal class WeightedLeastSquares(
    private val prior: DoubleArray,
    private val priorWeight: Double,
    private val decayFactor: Double,
) {
    private val products: Array<DoubleArray> = Array(prior.size) { DoubleArray(prior.size) }
    private val moments: DoubleArray = DoubleArray(prior.size)
    private var coefficients: DoubleArray = prior.copyOf()

    /** Returns the fitted value at [features]. */
    fun valueAt(features: DoubleArray): Double = features.indices.sumOf { features[it] * coefficients[it] }

    /** Adds a sample with [weight] and updates the fit. */
    fun add(features: DoubleArray, value: Double, weight: Double) {
        for (row in prior.indices) {
            for (column in prior.indices) {
                products[row][column] =
                    products[row][column] * decayFactor + weight * features[row] * features[column]
            }
            moments[row] = moments[row] * decayFactor + weight * features[row] * value
        }
        coefficients = fit()
    }

    private fun fit(): DoubleArray {
        val rows = Array(prior.size) { row ->
            DoubleArray(prior.size + 1) { column ->
                when (column) {
                    prior.size -> moments[row] + priorWeight * prior[row]
                    row -> products[row][column] + priorWeight
                    else -> products[row][column]
                }
            }
        }
        return solve(rows).also { solution -> solution.indices.forEach { solution[it] = maxOf(0.0, solution[it]) } }
    }
}

/** Solves the linear equations in [rows], each with its right-hand side last, by Gauss-Jordan elimination. */
private fun solve(rows: Array<DoubleArray>): DoubleArray {
    for (column in rows.indices) {
        val pivot = (column until rows.size).maxBy { abs(rows[it][column]) }
        rows[column] = rows[pivot].also { rows[pivot] = rows[column] }
        for (row in rows.indices) {
            if (row != column) eliminate(rows[row], rows[column], column)
        }
    }
    return DoubleArray(rows.size) { rows[it].last() / rows[it][it] }
}

private fun eliminate(row: DoubleArray, pivotRow: DoubleArray, column: Int) {
    val factor = row[column] / pivotRow[column]
    for (index in column until row.size) row[index] -= factor * pivotRow[index]
}
