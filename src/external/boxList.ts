/** The platform's box list: the state and the addresses of all boxes. It may be out of date. */
import { z } from 'zod';
import { StepError } from '../utils/stepError.js';
import { nameSchema, roleSchema } from '../protocol/names.js';
import { sendJson } from './httpClient.js';

export const boxStateSchema = z.enum(['live', 'leaving']);
export type BoxState = z.infer<typeof boxStateSchema>;

export const boxSchema = z.object({
  box: nameSchema,
  role: roleSchema,
  dataCentre: nameSchema,
  address: z.string(),
  httpPort: z.number(),
  controlPort: z.number(),
  state: boxStateSchema,
});
export type Box = z.infer<typeof boxSchema>;

/** All boxes at `revision`. */
export const boxListingSchema = z.object({ revision: z.number(), boxes: z.array(boxSchema) });
export type BoxListing = z.infer<typeof boxListingSchema>;

export interface BoxList {
  /** Throws a StepError if there is no valid answer. */
  list(): Promise<BoxListing>;
}

const LIST_TIMEOUT_MILLISECONDS = 2_000;

/** Reads the box list over HTTP. */
export class HttpBoxList implements BoxList {
  private readonly _baseUrl: string;

  constructor(baseUrl: string) {
    this._baseUrl = baseUrl;
  }

  async list(): Promise<BoxListing> {
    const answer = await sendJson({
      step: 'boxList.list',
      method: 'GET',
      url: `${this._baseUrl}/boxes`,
      timeoutMilliseconds: LIST_TIMEOUT_MILLISECONDS,
    });
    const parsed = boxListingSchema.safeParse(answer.body);
    if (answer.status !== 200 || !parsed.success)
      throw new StepError('boxList.list', `status ${answer.status}`);
    return parsed.data;
  }
}
