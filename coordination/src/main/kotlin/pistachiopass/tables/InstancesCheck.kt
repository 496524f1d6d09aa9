/** The check of the instance list by itself. */
package pistachiopass.tables

import pistachiopass.model.Instance
import pistachiopass.model.InstanceList
import pistachiopass.model.InstanceState

/** Returns all problems of [list] that can be found without the other documents. */
public fun checkInstanceList(list: InstanceList): List<Problem> {
    val instances = list.instances
    val listPlace = Place(DocumentName.INSTANCES).field("instances")
    val ids = instances.duplicateProblems({ it.id }) { index, instance -> instancePlace(index, instance).field("id") }
    val addresses = addressesOf(list).duplicateProblems({ it.value }) { _, placed -> placed.place }
    val noneLive = instances.none { it.state == InstanceState.LIVE }
    return ids + addresses +
        instances.flatMapIndexed { index, instance -> instanceProblems(instancePlace(index, instance), instance) } +
        listOfNotNull(listPlace.warning("no live instance", "at least one live instance").takeIf { noneLive })
}

private fun instancePlace(
    index: Int,
    instance: Instance,
): Place = Place(DocumentName.INSTANCES).field("instances").element(index, instance.id.value)

/** Returns all addresses of the instances, each with its place in the document. */
internal fun addressesOf(list: InstanceList): List<Placed<String>> =
    list.instances.flatMapIndexed { index, instance ->
        val place = instancePlace(index, instance)
        listOf(
            Placed(place.field("httpAddress"), instance.httpAddress),
            Placed(place.field("peerAddress"), instance.peerAddress),
        )
    }

private fun instanceProblems(
    place: Place,
    instance: Instance,
): List<Problem> =
    place.field("id").checkName(instance.id.value) +
        place.field("dataCentre").checkName(instance.dataCentre.value) +
        place.field("httpAddress").checkAddress(instance.httpAddress) +
        place.field("peerAddress").checkAddress(instance.peerAddress)
