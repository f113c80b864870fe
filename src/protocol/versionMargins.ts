/**
 * After a newer version is announced, requests may begin on older versions only until the version deadline. These
 * margins say how long before the deadline older versions cease to be used, step by step, in milliseconds. Entries and
 * agents use the same values.
 *
 * | before the deadline | what happens to requests on an older version                                           |
 * | ------------------- | -------------------------------------------------------------------------------------- |
 * | 3,000               | none are sent over slow links or handed over; servers of newer versions are preferred  |
 * | 2,000               | those sent over slow links that have not begun are cancelled                           |
 * | 1,500               | none are sent to servers where requests take long to begin                             |
 * | 1,000               | none are sent at all                                                                   |
 * | 500                 | all that have not begun are cancelled                                                  |
 */

/** From here on, servers of older versions are avoided: if one becomes unreachable, its requests may begin too late. */
export const AVOIDANCE_MARGIN_MILLISECONDS = 3_000;
/** A slow link delays both a request and the reset that cancels it: by 2.7 s on a link at a fifth of its usual rate. */
export const SLOW_CANCEL_MARGIN_MILLISECONDS = 2_000;
/** From here on, servers that answer late or send no status get no requests on an older version. */
export const SLOW_SEND_MARGIN_MILLISECONDS = 1_500;
/**
 * A request waits on the link and for the prompts ahead of it: up to 400 ms at servers that answer in time, and as long
 * again if the link of the box is slow and entries do not know it yet.
 */
export const LAST_SEND_MARGIN_MILLISECONDS = 1_000;
/**
 * An engine processes prompts in batches, and a request that is in a batch begins when the batch ends, even if its
 * connection has been reset: 190 ms after the reset in one case, and up to 500 ms where eight prompts of the mean size
 * (45 ms each) wait beside a large one.
 */
export const CANCEL_MARGIN_MILLISECONDS = 500;
