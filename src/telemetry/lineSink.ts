/** Destinations of log lines. */
import sonicBoom from 'sonic-boom';

/** The destination of log lines; tests replace it. */
export interface LineSink {
  write(line: string): void;
  /** Resolves when all lines so far have been written. */
  flush?(): Promise<void>;
}

/** Size of the buffer for a slow reader; lines are dropped while it is full. */
const BUFFER_BYTES = 256 * 1024;

/** Returns a sink that writes to a file descriptor and never blocks on its reader. */
export function descriptorSink(fd: number): Required<LineSink> {
  const stream = new sonicBoom.SonicBoom({ fd, sync: false, maxLength: BUFFER_BYTES });
  stream.on('error', () => undefined);
  return {
    write: (line) => void stream.write(line),
    flush: async () => await new Promise((resolve) => stream.flush(() => resolve())),
  };
}
