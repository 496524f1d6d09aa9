/** Status of the endpoint accounts in a lease table, for other instances and for operators. */
package pistachiopass.capacity

import pistachiopass.model.InstanceId
import pistachiopass.status.LeaseStatus

/** Snapshot of one endpoint account. */
public data class AccountStatus(
    val config: AccountConfig,
    val isCold: Boolean,
    /** Whether the load reports of the endpoint have stopped. */
    val isSilent: Boolean,
    /** Capacity that is or may be in use, by the leases and the last load report. */
    val held: Capacity,
    val leaseCount: Int,
    /** Capacity that the leases of this table reserve. */
    val leased: Capacity,
    /** Unexpired pledges, by the instance that sent them. */
    val pledged: Map<InstanceId, Share>,
    val report: EndpointReport?,
)

internal fun EndpointAccount.status(nowMillis: Long): AccountStatus = AccountStatus(
    config = config,
    isCold = coldStart.isCold,
    isSilent = isSilent(nowMillis),
    held = usage().total,
    leaseCount = leases.size,
    leased = leases.values.fold(Capacity.NONE) { sum, lease -> sum + lease.idFields.reserved },
    pledged = pledges.unexpired(nowMillis).associate { it.pledge.incarnation.instance to it.pledge.share },
    report = report,
)

/** Returns the summary that is sent to the instances that choose endpoints. */
internal fun EndpointAccount.summary(nowMillis: Long): EndpointSummary =
    EndpointSummary(config.endpoint.id, coldStart.isCold, isSilent(nowMillis), usage().total)

/** Expires the leases that earlier incarnations of the instance held, since [incarnation] has replaced them. */
internal fun EndpointAccount.endOtherIncarnations(incarnation: InstanceIncarnation, nowMillis: Long) {
    leases.values.filter { it.holder.instance == incarnation.instance && it.holder != incarnation }
        .forEach { it.holderEnded(nowMillis) }
}

/** Returns the number of leases that this table counts, and the tokens that they reserve. */
public fun LeaseTable.status(): LeaseStatus {
    val accounts = accounts()
    return LeaseStatus(accounts.sumOf { it.leaseCount }, accounts.sumOf { it.leased.tokens })
}
