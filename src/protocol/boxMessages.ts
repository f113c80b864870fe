/** What entries and the agents of backend servers tell each other when backend servers are reached directly. */
import { z } from 'zod';
import { countSchema, nameSchema } from './names.js';

const MAXIMUM_LIST_LENGTH = 10_000;
const MAXIMUM_NAME_LENGTH = 200;

/** An entry that callers may use. */
export const entryAddressSchema = z.object({
  box: nameSchema,
  dataCentre: z.string(),
  /** Where callers connect, as host:port. */
  address: z.string(),
  /** Where control connections are accepted, as host:port. */
  control: z.string(),
  leaving: z.boolean(),
});
export type EntryAddress = z.infer<typeof entryAddressSchema>;

/** A version that an operator wants in service, and for how long this has been known. */
export const wantedVersionSchema = z.object({
  model: z.string(),
  version: countSchema,
  knownMilliseconds: z.number().nonnegative(),
});
export type WantedVersion = z.infer<typeof wantedVersionSchema>;

/** A version that some process has heard of, and how long ago the first one did whose word has come to the sender. */
export const heardVersionSchema = z.object({
  model: z.string(),
  version: countSchema,
  heardMilliseconds: z.number().nonnegative(),
});
export type HeardVersion = z.infer<typeof heardVersionSchema>;

/** A box whose agent exchanges chunks. */
export const agentAddressSchema = z.object({ box: nameSchema, dataCentre: z.string(), address: z.string() });
export type AgentAddress = z.infer<typeof agentAddressSchema>;

/** Sent by an entry to each agent when it connects and on every change. */
export const entryPresenceSchema = z.object({
  type: z.literal('entry-presence'),
  entry: entryAddressSchema,
  wanted: z.array(wantedVersionSchema).max(MAXIMUM_LIST_LENGTH),
  /** The newest versions that the entry has heard of; absent where a sender does not tell them. */
  heard: z.array(heardVersionSchema).max(MAXIMUM_LIST_LENGTH).optional(),
  /** Where weights are read, as host:port; '' while unknown. */
  origin: z.string(),
  /** Whether the entry sends requests to the backend server of the box, and wants to hear its status. */
  hearsStatus: z.boolean(),
  /** Whether the agent is to tell which entries are connected to it. */
  hearsEntries: z.boolean(),
});
export type EntryPresence = z.infer<typeof entryPresenceSchema>;

/** Sent by an agent to a few entries of its choice, and taken back when it chooses others. */
export const agentListQuerySchema = z.object({ type: z.literal('agent-list-query'), wanted: z.boolean() });

/** Sent by the entries that an agent has asked for it: the agents beside the backend servers of the same service. */
export const agentListSchema = z.object({
  type: z.literal('agent-list'),
  /** Revision of service discovery; an older list changes nothing. */
  revision: countSchema,
  agents: z.array(agentAddressSchema).max(MAXIMUM_LIST_LENGTH),
});
export type AgentList = z.infer<typeof agentListSchema>;

/** What the backend server of a box does with respect to versions. */
export const servingStateSchema = z.enum(['serving', 'preparing', 'switching', 'empty']);
export type ServingState = z.infer<typeof servingStateSchema>;

/** Sent by an agent on every change to the entries that want it. Load is a hint. */
export const boxStatusSchema = z.object({
  type: z.literal('box-status'),
  state: servingStateSchema,
  model: z.string(),
  version: countSchema,
  running: countSchema,
  queued: countSchema,
  /** Whether chunks come so slowly that the link of the box must be narrow, for requests as well. */
  slowLink: z.boolean(),
  /** When the backend server started, in Unix milliseconds by its own clock; absent where it does not tell. */
  startedAt: countSchema.optional(),
});
export type BoxStatus = z.infer<typeof boxStatusSchema>;

/** Sent by an agent, on every change, to the entries that want it: the entries that are connected to the agent. */
export const entryListSchema = z.object({
  type: z.literal('entry-list'),
  /** Whether these are all entries; else those that have changed since the last list on the connection. */
  whole: z.boolean(),
  entries: z.array(entryAddressSchema).max(MAXIMUM_LIST_LENGTH),
  /** Boxes of entries that are no longer connected. */
  gone: z.array(nameSchema).max(MAXIMUM_LIST_LENGTH),
});
export type EntryList = z.infer<typeof entryListSchema>;

/**
 * Sent by an agent to the entries that hear its status, when it hears of a version, or that it was heard of earlier than it
 * knew: an entry whose own source is late, or has missed a version, learns of it by any entry that is connected to the agent.
 */
export const versionsHeardSchema = z.object({
  type: z.literal('versions-heard'),
  versions: z.array(heardVersionSchema).max(MAXIMUM_LIST_LENGTH),
});

/** What a backend server asks of all entries, as its answers have told. */
export const serverNoticeSchema = z.object({
  server: z.string().max(MAXIMUM_NAME_LENGTH),
  /** When the server started, in Unix milliseconds by its own clock; 0 where it is not told. */
  startedAt: countSchema,
  /** Requests a second that it takes from all entries together; null where it names no limit. */
  limitPerSecond: z.number().nonnegative().nullable(),
  leaving: z.boolean(),
  /** Since the answer that told it. */
  heardMilliseconds: z.number().nonnegative(),
});
export type ServerNotice = z.infer<typeof serverNoticeSchema>;

/**
 * Sent by an entry to the agents that tell entries of each other, when answers tell it a change, and passed on by these to all
 * entries: one that has not asked the server yet, or has started again, heeds it as well.
 */
export const serverNoticesSchema = z.object({
  type: z.literal('server-notices'),
  notices: z.array(serverNoticeSchema).max(MAXIMUM_LIST_LENGTH),
});

/** Asks the other end of a connection for a {@link linkEchoSchema}; answered by the connection itself. */
export const linkProbeSchema = z.object({ type: z.literal('link-probe'), number: countSchema });
/** Answers the probe of the same number. */
export const linkEchoSchema = z.object({ type: z.literal('link-echo'), number: countSchema });

/** Sent between agents: whether the sender is about to switch, and what it holds. */
export const switchStateSchema = z.object({
  type: z.literal('switch-state'),
  version: countSchema,
  state: z.enum(['staging', 'staged', 'preparing', 'switching', 'serving']),
});
export type SwitchState = z.infer<typeof switchStateSchema>;
