/** Descriptions of an owner's accounts, for other instances and for operators. */
package pistachiopass.capacity

import pistachiopass.model.InstanceId
import pistachiopass.status.LeaseStatus

/** Describes one account. */
public data class AccountStatus(
    val config: AccountConfig,
    val isCold: Boolean,
    val isSilent: Boolean,
    /** What leases and the last report say is or may be in use. */
    val held: Capacity,
    val leaseCount: Int,
    /** What this table's leases reserve. */
    val leased: Capacity,
    /** Unexpired pledges by pledger. */
    val pledged: Map<InstanceId, Share>,
    val report: EndpointReport?,
)

/** Returns the description that operators see. */
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

/** Returns the description that goes to the instances that choose endpoints. */
internal fun EndpointAccount.summary(nowMillis: Long): EndpointSummary =
    EndpointSummary(config.endpoint.id, coldStart.isCold, isSilent(nowMillis), usage().total)

/** Notes that all incarnations of an instance before [incarnation] have ended. */
internal fun EndpointAccount.endOtherIncarnations(incarnation: InstanceIncarnation, nowMillis: Long) {
    leases.values.filter { it.holder.instance == incarnation.instance && it.holder != incarnation }
        .forEach { it.holderEnded(nowMillis) }
}

/** Returns number and size of all leases that count in this table. */
public fun LeaseTable.status(): LeaseStatus {
    val accounts = accounts()
    return LeaseStatus(accounts.sumOf { it.leaseCount }, accounts.sumOf { it.leased.tokens })
}
