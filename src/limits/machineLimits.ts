/** What the clients of a process may take of its machine if the settings do not say so. */
import os from 'node:os';

const BYTES_PER_MEGABYTE = 1024 * 1024;
/** Share of the memory that requests and answers may take; the rest is for the process itself, and for others. */
const MEMORY_SHARE = 0.25;
const MAX_MEGABYTES = 1_024;
/** Share of the descriptors; the rest is for connections to other processes, and for files. */
const DESCRIPTOR_SHARE = 0.5;
const MAX_CONNECTIONS = 10_000;
/** Descriptors of a process if the system does not tell its limit. */
const USUAL_DESCRIPTORS = 1_024;

/** Megabytes for the requests of clients and the answers to them. */
export function machineClientMegabytes(): number {
  const constrained = process.constrainedMemory();
  const bytes = constrained > 0 ? Math.min(constrained, os.totalmem()) : os.totalmem();
  return Math.max(1, Math.min(MAX_MEGABYTES, Math.floor((bytes / BYTES_PER_MEGABYTE) * MEMORY_SHARE)));
}

/** Connections of clients. */
export function machineClientConnections(): number {
  return Math.min(MAX_CONNECTIONS, Math.floor(openFileLimit() * DESCRIPTOR_SHARE));
}

function openFileLimit(): number {
  const report = process.report.getReport() as { userLimits?: { open_files?: { soft?: unknown } } };
  const limit = report.userLimits?.open_files?.soft;
  if (limit === 'unlimited') return Infinity;
  return Number(limit) || USUAL_DESCRIPTORS;
}
