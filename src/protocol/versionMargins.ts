/**
 * How long before the bound of an older version what ends there, in milliseconds. Entries and agents assume the same.
 *
 * | before the bound | what ends                                                                                     |
 * | ---------------- | --------------------------------------------------------------------------------------------- |
 * | 3,000            | sends to servers on whose way requests may lie; handovers to older versions; others come first |
 * | 2,000            | waiting for what was sent to such servers and has not begun: it is taken back                  |
 * | 1,500            | sends to servers where requests take long to begin                                             |
 * | 1,000            | all sends                                                                                      |
 * | 500              | waiting for anything that has not begun: it is taken back                                      |
 */

/** Servers of older versions are avoided from then on, since others may begin too late if their server goes dark. */
export const AVOIDANCE_MARGIN_MILLISECONDS = 3_000;
/** The request, and the reset behind it, may lie on the way: 2.7 s were seen on a link squeezed to a fifth. */
export const SLOW_CANCEL_MARGIN_MILLISECONDS = 2_000;
/** Servers that answer late, or are not heard, get nothing on an older version for longer than others. */
export const SLOW_SEND_MARGIN_MILLISECONDS = 1_500;
/**
 * A request waits for the prompts before it, and on its way: up to 400 ms on the users' bench at servers that answer in time,
 * and as much again where the link of a box is narrow and not known to be.
 */
export const LAST_SEND_MARGIN_MILLISECONDS = 1_000;
/**
 * An engine reads prompts in passes, and a request that it has picked up begins at the end of its pass, whatever becomes of its
 * connection: 190 ms after the reset in a case seen, and up to 500 ms where eight prompts of the mean size wait (45 ms each)
 * beside a large one.
 */
export const CANCEL_MARGIN_MILLISECONDS = 500;
