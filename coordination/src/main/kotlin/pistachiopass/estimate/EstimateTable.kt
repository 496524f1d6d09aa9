/** The samples of all endpoints, and the ratio of observed to expected time that is usual in each group. */
package pistachiopass.estimate

import pistachiopass.model.EndpointIncarnation

/** Holds the samples by endpoint incarnation. Confined to one thread. */
internal class EstimateTable(private val settings: EstimateSettings) {
    private val estimates = HashMap<EndpointIncarnation, EndpointEstimate>()
    private val medians = HashMap<EndpointGroup, GroupMedian>()

    val all: Collection<EndpointEstimate> get() = estimates.values

    operator fun get(endpoint: EndpointIncarnation): EndpointEstimate? = estimates[endpoint]

    fun getOrAdd(endpoint: EndpointIncarnation, group: EndpointGroup, nowMillis: Long): EndpointEstimate =
        estimates.getOrPut(endpoint) {
            EndpointEstimate(endpoint, group, medians.getOrPut(group, ::GroupMedian), settings, nowMillis)
        }

    /** Returns the ratio that counts as factor 1 for [estimate]; 1 if its group has too few samples. */
    fun medianFor(estimate: EndpointEstimate, nowMillis: Long): Double {
        val median = estimate.median
        if (nowMillis >= median.validUntilMillis) {
            median.value = computedMedian(estimate.group, nowMillis)
            median.validUntilMillis = nowMillis + settings.medianAgeMaxMillis
        }
        return median.value
    }

    private fun computedMedian(group: EndpointGroup, nowMillis: Long): Double {
        val ratios = estimates.values.filter { it.group == group }.mapNotNull { it.ratioOrNull(nowMillis) }.sorted()
        val isTooFew = ratios.isEmpty() || (group.isSpeedPublished && ratios.size < settings.medianEndpointsMin)
        return if (isTooFew) 1.0 else (ratios[(ratios.size - 1) / 2] + ratios[ratios.size / 2]) / 2
    }

    fun trim(isKnown: (EndpointIncarnation) -> Boolean) {
        estimates.keys.removeIf { !isKnown(it) }
        medians.keys.retainAll(estimates.values.mapTo(HashSet()) { it.group })
    }
}
