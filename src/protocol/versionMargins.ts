/** What entries and agents both assume of the end of an older version. */

/**
 * Entries send nothing more to an older version this long before the bound, in milliseconds, since a request waits for
 * the prompts before it, and on its way: up to 400 ms on the users' bench at servers that answer in time, and as much again
 * where the link of a box is narrow and not known to be.
 */
export const LAST_SEND_MARGIN_MILLISECONDS = 1_000;
