/** What entries and agents both assume of the end of an older version. */

/**
 * Entries send nothing more to an older version this long before the bound, in milliseconds, since a request waits for
 * the prompts before it: up to 400 ms on the users' bench at servers that answer in time.
 */
export const LAST_SEND_MARGIN_MILLISECONDS = 700;
