/** What a request needs of a server. */
export interface ServerRequirements {
  service: string;
  /** The model, '' for services without one. */
  model: string;
  /** The lowest version on which the request may begin. */
  minVersion: number;
  /** The same for a server on which requests may take long to begin. */
  minVersionIfSlow: number;
  /** The lowest version that is not better avoided. */
  preferredVersion: number;
  /** The newest version that has been named. */
  newestVersion: number;
  /** Time within which a first answer is worth most. */
  objectiveMilliseconds: number;
  /** Whether the request is carried over from another server, which it still runs on or which broke its answer off. */
  isContinuation: boolean;
  /** Servers that have been tried for the request. */
  tried: ReadonlySet<string>;
}
