/** What a reader does with changes that another instance tells it. */
package pistachiopass.published

/** What to do with the changes after a base. */
public enum class FeedAction {
    /** Apply them, and take the confirmation that comes with them. */
    APPLY,

    /** The reader has them all: take the confirmation, and what the other believes against the store. */
    CONFIRM,

    /** The reader lacks others besides: fetch what it lacks. */
    FETCH,

    /** They are of an earlier era, and confirm nothing. */
    IGNORE,
}

/**
 * Returns what a reader at [position] does with the changes after [base], null for all items, up to [target].
 *
 * Within an era a reader that is beyond [base] applies them. Changes from one era to the next are what differs from the
 * state at [base], so only a reader that is exactly there can apply them.
 */
public fun actionOf(position: Revision?, base: Revision?, target: Revision): FeedAction = when {
    position != null && target.era < position.era -> FeedAction.IGNORE
    base == null -> FeedAction.APPLY
    position == null -> FeedAction.FETCH
    base.era == target.era -> if (position >= base) FeedAction.APPLY else FeedAction.FETCH
    position == base -> FeedAction.APPLY
    position >= target -> FeedAction.CONFIRM
    else -> FeedAction.FETCH
}
