/** Runs a case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
import { CannotRun } from './fleet.mjs';

const LIMIT_MILLISECONDS = 110_000;

/** `play` returns whether the rule was broken; `record` gets the outcome; `stop` ends what `play` started. */
export async function runCase({ record, play, stop }) {
  const limit = setTimeout(() => void finish(2, 'the case took too long'), LIMIT_MILLISECONDS);
  const finish = async (status, text) => {
    clearTimeout(limit);
    record.write(text);
    console.log(text);
    await stop().catch((error) => console.error(error));
    process.exit(status);
  };
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => void finish(2, 'interrupted'));
  try {
    const broken = await play();
    await finish(broken ? 1 : 0, broken ? 'RULE BROKEN' : 'the rule held');
  } catch (error) {
    await finish(2, `could not run: ${error instanceof CannotRun ? error.message : error.stack}`);
  }
}
