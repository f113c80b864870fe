/** Measures processor time, memory and control traffic of daemons. */
import { readFileSync } from 'node:fs';
import { pause } from '../src/utils/timers.js';
import type { FleetBox } from '../standins/localFleet.js';

/** Mean usage over an interval. */
export interface Usage {
  bytesPerSecond: number;
  /** Percentage of one core. */
  cpuPercent: number;
  residentMegabytes: number;
}

/** Unit of the times in /proc/PID/stat. */
const MILLISECONDS_PER_TICK = 10;
const KILOBYTES_PER_MEGABYTE = 1024;

/** Measures several daemons over the same interval and returns their mean. */
export async function meanUsage(boxes: readonly FleetBox[], milliseconds: number): Promise<Usage> {
  const before = await Promise.all(boxes.map((box) => sample(box)));
  await pause(milliseconds);
  const after = await Promise.all(boxes.map((box) => sample(box)));
  const seconds = milliseconds / 1000;
  const mean = (read: (index: number) => number): number =>
    boxes.reduce((sum, _box, index) => sum + read(index), 0) / boxes.length;
  return {
    bytesPerSecond: mean((index) => (after[index].controlBytes - before[index].controlBytes) / seconds),
    cpuPercent: mean(
      (index) =>
        ((after[index].processorMilliseconds - before[index].processorMilliseconds) / milliseconds) * 100,
    ),
    residentMegabytes: mean((index) => after[index].residentMegabytes),
  };
}

/** Processor time of a process since its start, in user and system mode over all threads. */
export function processorMilliseconds(processId: number): number {
  const stat = readFileSync(`/proc/${processId}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) * MILLISECONDS_PER_TICK;
}

async function sample(
  box: FleetBox,
): Promise<{ controlBytes: number; processorMilliseconds: number; residentMegabytes: number }> {
  const metrics = await (await fetch(`${box.httpUrl}/metrics`)).text();
  const controlBytes = Number(/^larklatch_control_bytes (\d+)$/m.exec(metrics)?.[1] ?? 0);
  const status = readFileSync(`/proc/${box.child.processId!}/status`, 'utf8');
  const residentKilobytes = Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1] ?? 0);
  return {
    controlBytes,
    processorMilliseconds: processorMilliseconds(box.child.processId!),
    residentMegabytes: residentKilobytes / KILOBYTES_PER_MEGABYTE,
  };
}
