/** Messages among entries and agents of a system in which entries send requests directly to backend servers. */
import { z } from 'zod';
import { countSchema, nameSchema } from './names.js';

const MAXIMUM_LIST_LENGTH = 10_000;
const MAXIMUM_NAME_LENGTH = 200;

/** An entry that accepts requests from callers. */
export const entryAddressSchema = z.object({
  box: nameSchema,
  dataCentre: z.string(),
  /** Address for callers, as host:port. */
  address: z.string(),
  /** Address for control connections, as host:port. */
  control: z.string(),
  leaving: z.boolean(),
});
export type EntryAddress = z.infer<typeof entryAddressSchema>;

/** A target version, which the operator wants in service, and how long the sender has known of it. */
export const wantedVersionSchema = z.object({
  model: z.string(),
  version: countSchema,
  knownMilliseconds: z.number().nonnegative(),
});
export type WantedVersion = z.infer<typeof wantedVersionSchema>;

/** A known version, and how long ago the first process learned of it, as far as the sender knows. */
export const heardVersionSchema = z.object({
  model: z.string(),
  version: countSchema,
  heardMilliseconds: z.number().nonnegative(),
});
export type HeardVersion = z.infer<typeof heardVersionSchema>;

/** The address of an agent that exchanges chunks with others. */
export const agentAddressSchema = z.object({ box: nameSchema, dataCentre: z.string(), address: z.string() });
export type AgentAddress = z.infer<typeof agentAddressSchema>;

/** A load of a version of which it is confirmed that the server took intact chunks. */
export const confirmedLoadSchema = z.object({
  /** Start of the backend server in Unix milliseconds by its own clock; 0 where it does not report one. */
  startedAt: countSchema,
  /** Revision of the server after the order: the number of orders that it has accepted since its start. */
  revision: countSchema,
  version: countSchema,
});
export type ConfirmedLoad = z.infer<typeof confirmedLoadSchema>;

/** Sent by an entry to each agent when it connects and on every change. */
export const entryPresenceSchema = z.object({
  type: z.literal('entry-presence'),
  entry: entryAddressSchema,
  wanted: z.array(wantedVersionSchema).max(MAXIMUM_LIST_LENGTH),
  /** The newest versions that the entry knows of; absent from senders that do not report them. */
  heard: z.array(heardVersionSchema).max(MAXIMUM_LIST_LENGTH).optional(),
  /**
   * What the agent's box reported last as confirmed, for an agent that has restarted; absent from senders that do not
   * remember it.
   */
  confirmed: z.array(confirmedLoadSchema).max(MAXIMUM_LIST_LENGTH).optional(),
  /** Address of the weight origin, as host:port; '' while unknown. */
  origin: z.string(),
  /** Whether the entry sends requests to the agent's backend server, and so wants its status. */
  hearsStatus: z.boolean(),
  /** Whether the agent should send the list of the entries that are connected to it. */
  hearsEntries: z.boolean(),
});
export type EntryPresence = z.infer<typeof entryPresenceSchema>;

/**
 * Asks an entry for the list of agents. An agent asks a few entries only; `wanted` is false to tell an entry that the
 * agent has chosen others instead.
 */
export const agentListQuerySchema = z.object({ type: z.literal('agent-list-query'), wanted: z.boolean() });

/** The answer to `agent-list-query`, sent again on every change: the agents of the same service. */
export const agentListSchema = z.object({
  type: z.literal('agent-list'),
  /** Revision of service discovery; receivers ignore a list older than the one they have. */
  revision: countSchema,
  agents: z.array(agentAddressSchema).max(MAXIMUM_LIST_LENGTH),
});
export type AgentList = z.infer<typeof agentListSchema>;

/** State of a backend server with respect to versions. */
export const servingStateSchema = z.enum(['serving', 'preparing', 'switching', 'empty']);
export type ServingState = z.infer<typeof servingStateSchema>;

/** Status of a backend server. Its agent sends it on every change to the entries that want it. Load may lag behind. */
export const boxStatusSchema = z.object({
  type: z.literal('box-status'),
  state: servingStateSchema,
  model: z.string(),
  /** The version in service; 0 if there is none, or it is not known whether the server took intact chunks. */
  version: countSchema,
  /** Revision of the server at which it took that version; absent without one, and from senders that do not report it. */
  revision: countSchema.optional(),
  running: countSchema,
  queued: countSchema,
  /** Whether the link of the box is slow, for requests too, judging by the rate at which chunks arrive. */
  slowLink: z.boolean(),
  /** Start of the backend server in Unix milliseconds by its own clock; absent where the server does not report it. */
  startedAt: countSchema.optional(),
});
export type BoxStatus = z.infer<typeof boxStatusSchema>;

/** The entries that are connected to an agent. The agent sends the list on every change to the entries that want it. */
export const entryListSchema = z.object({
  type: z.literal('entry-list'),
  /** Whether `entries` holds all entries, or only those that changed since the last list on this connection. */
  whole: z.boolean(),
  entries: z.array(entryAddressSchema).max(MAXIMUM_LIST_LENGTH),
  /** Boxes whose entries are no longer connected. */
  gone: z.array(nameSchema).max(MAXIMUM_LIST_LENGTH),
});
export type EntryList = z.infer<typeof entryListSchema>;

/**
 * Sent by an agent to the entries that receive its status, when it learns of a version, or that a version was known
 * earlier than reported so far. An entry whose own source is late or has missed a version learns of the version in this
 * way from any other entry that is connected to the same agent.
 */
export const versionsHeardSchema = z.object({
  type: z.literal('versions-heard'),
  versions: z.array(heardVersionSchema).max(MAXIMUM_LIST_LENGTH),
});

/**
 * What a backend server requires of all entries: a limit on requests, fewer while it is cold, or that they send none.
 * Its answers carry it.
 */
export const serverNoticeSchema = z.object({
  server: z.string().max(MAXIMUM_NAME_LENGTH),
  /** Start of the server in Unix milliseconds by its own clock; 0 when unknown. */
  startedAt: countSchema,
  /** Requests per second that the server accepts from all entries together; null without a limit. */
  limitPerSecond: z.number().nonnegative().nullable(),
  leaving: z.boolean(),
  /** Time since the answer that carried the limit or that the server is leaving. */
  heardMilliseconds: z.number().nonnegative(),
  /** Time for which the server remains cold. Absent when it is warm, and in messages of earlier builds. */
  coldMilliseconds: z.number().nonnegative().optional(),
});
export type ServerNotice = z.infer<typeof serverNoticeSchema>;

/**
 * New notices that an entry has received, sent to the agents that send it lists of entries. These agents forward the
 * notices to all entries, so that they also reach an entry that has not sent the server a request yet or has restarted.
 */
export const serverNoticesSchema = z.object({
  type: z.literal('server-notices'),
  notices: z.array(serverNoticeSchema).max(MAXIMUM_LIST_LENGTH),
});

/** Measures the round trip: the `ControlConnection` of the peer answers with a {@link linkEchoSchema}. */
export const linkProbeSchema = z.object({ type: z.literal('link-probe'), number: countSchema });
/** Answers the probe with the same number. */
export const linkEchoSchema = z.object({ type: z.literal('link-echo'), number: countSchema });

/** Sent between agents: the sender's progress in staging a version and switching to it. */
export const switchStateSchema = z.object({
  type: z.literal('switch-state'),
  version: countSchema,
  state: z.enum(['staging', 'staged', 'preparing', 'switching', 'serving']),
});
export type SwitchState = z.infer<typeof switchStateSchema>;
