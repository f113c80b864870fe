/** Public API of the library: the two daemons, their settings, and the headers and values that callers see. */
export { AgentDaemon } from './agent/agentDaemon.js';
export type { AgentParts, ListeningPorts } from './agent/agentDaemon.js';
export { EntryDaemon } from './entry/entryDaemon.js';
export type { EntryPorts } from './entry/entryDaemon.js';
export { agentSettingsSchema } from './settings/agentSettings.js';
export type { AgentSettings } from './settings/agentSettings.js';
export { entrySettingsSchema } from './settings/entrySettings.js';
export type { EntrySettings } from './settings/entrySettings.js';
export { HEADER } from './protocol/headers.js';
export type { Outcome, Priority } from './protocol/headers.js';
