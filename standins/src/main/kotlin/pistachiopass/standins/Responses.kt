/** How stand-ins answer with JSON. */
package pistachiopass.standins

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondText
import kotlinx.serialization.json.Json

/** Answers with [value] as JSON. */
public suspend inline fun <reified T> ApplicationCall.respondJson(
    value: T,
    status: HttpStatusCode = HttpStatusCode.OK,
) {
    respondText(Json.encodeToString(value), ContentType.Application.Json, status)
}
